package promotion

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// clusterClaim is the duty's claim in the store. What is in it outlasts its holders. It
// is guarded by cluster.mu.
type clusterClaim struct {
	token      uint64
	holder     *clusterHost
	leadership duty.Leadership
	members    []duty.Member
}

// clusterHost is a host that holds the duty, with its own catalog. It implements Duty.
type clusterHost struct {
	cluster      *cluster
	catalog      *catalog.Store
	view         *group.Group
	pendingUntil time.Time
	stop         context.CancelFunc
}

// startHost starts a host that takes the duty. It has seen nothing but the present
// register. Its predecessor was silent for silentFor.
func (c *cluster) startHost(silentFor time.Duration) {
	h := &clusterHost{cluster: c, catalog: catalog.NewStore()}
	h.pendingUntil = time.Now().Add(max(0, duty.RequestEffectWindow-silentFor))
	h.catalog.OfferConfiguration(&catalog.Configuration{Version: 1, Groups: map[topology.GroupID]catalog.Group{"g": {ID: "g", AckReplicas: 1}}})
	h.view = group.New(group.Options{ID: "g", Dialer: c, Log: logr.Discard()})
	h.hear()
	c.mu.Lock()
	if c.claim.holder != nil {
		c.claim.token++
	} else {
		h.pendingUntil = time.Time{}
	}
	c.claim.holder, c.host = h, h
	c.tracef("host holds the duty under token %d", c.claim.token)
	c.mu.Unlock()
	opts := Options{
		Group: "g", Dialer: c, Parse: parseClusterStatus, Promoter: c, Duty: h, Catalog: h.catalog, GroupView: h.view,
		ReadRegister: func(context.Context) error { h.hear(); return nil }, ReadHeartbeat: c.readHeartbeat, EntryLifetime: entryLifetime + reportInterval, AskHosts: c.askHosts,
		Hosts: func() int { return 3 }, Log: funcr.New(c.log, funcr.Options{RenderArgsHook: shortenValues}),
	}
	if c.voters != nil {
		opts.Commits = &hostCommits{h, c.voters}
	}
	w := NewWatcher(opts)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	c.watchers.Go(func() { w.Run(ctx) })
}

// stopHost ends the host that holds the duty.
func (c *cluster) stopHost() {
	if c.host == nil {
		return
	}
	c.host.stop()
	c.mu.Lock()
	c.tracef("the duty's holder stops")
	c.mu.Unlock()
	c.host = nil
}

// hear reads the register, and hears from other hosts who leads.
func (h *clusterHost) hear() {
	h.catalog.OfferRegistry(h.cluster.snapshot())
	h.catalog.Serving() // as the routing of each statement does; it forgets targets
	h.cluster.mu.Lock()
	leader := h.cluster.leader
	leads := leader.running
	h.cluster.mu.Unlock()
	if leads {
		h.view.NoteReportedLeader(leader.id, time.Now())
	}
}

// log adds a watcher's log line to the trace.
func (c *cluster) log(_, args string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracef("host: %s", strings.TrimPrefix(args, `"level"=0 "msg"=`))
}

// shortenValues makes the members in a log line readable.
func shortenValues(values []any) []any {
	for i, v := range values {
		members, ok := v.([]memberLog)
		if !ok {
			continue
		}
		var texts []string
		for _, m := range members {
			text := fmt.Sprintf("%s %s %s", m.ID, m.Reach, m.Received)
			if m.LogSince != "" {
				text += " bound " + m.LogSince
			}
			if m.PausedTerm > 0 {
				text += " paused"
			}
			texts = append(texts, text)
		}
		values[i] = strings.Join(texts, "; ")
	}
	return values
}

// askHosts tells whether hosts other than the holder reach the target, which may be cut off
// from the holder only, or from all hosts.
func (c *cluster) askHosts(_ context.Context, target topology.Target) *EndEvidence {
	asked := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	result := TargetAlive
	if t := c.find(target.ID); !t.running || t.cutFromHosts {
		result = TargetRefused
	}
	return &EndEvidence{AskedAt: asked, Domains: []topology.Domain{"d"}, Answers: []HostAnswer{{Host: "other", Domain: "d", Result: result}}}
}

func (h *clusterHost) Token(topology.GroupID) (uint64, bool) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.claim.token, h.cluster.claim.holder == h
}

func (h *clusterHost) Renew(context.Context, topology.GroupID) error {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if h.cluster.claim.holder != h {
		return duty.ErrHeldByOther
	}
	h.cluster.claim.token++
	return nil
}

func (h *clusterHost) Leadership(topology.GroupID) duty.Leadership {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.claim.leadership
}

func (h *clusterHost) Record(_ context.Context, _ topology.GroupID, state duty.Leadership) error {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if h.cluster.claim.holder != h {
		return duty.ErrHeldByOther
	}
	h.cluster.claim.leadership = state
	return nil
}

func (h *clusterHost) Members(topology.GroupID) []duty.Member {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.cluster.claim.members
}

func (h *clusterHost) RecordMembers(_ context.Context, _ topology.GroupID, members []duty.Member) error {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if h.cluster.claim.holder != h {
		return duty.ErrHeldByOther
	}
	h.cluster.claim.members = members
	return nil
}

func (h *clusterHost) MembersStored(id topology.GroupID, targets []topology.TargetID) bool {
	members := h.Members(id)
	for _, t := range targets {
		if !slices.ContainsFunc(members, func(m duty.Member) bool { return m.ID == t && !m.Covered }) {
			return false
		}
	}
	return true
}

func (h *clusterHost) NoteRequest(topology.GroupID)            {}
func (h *clusterHost) PendingUntil(topology.GroupID) time.Time { return h.pendingUntil }
func (h *clusterHost) Settled(topology.GroupID) bool           { return true }

// Dial implements statement.Dialer for the host that holds the duty.
func (c *cluster) Dial(ctx context.Context, target topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	t := c.find(target.ID)
	answers, silent, process := t.running && !t.cutFromHolder, t.isSilent(), t.process
	misrouted := t.ended && slices.ContainsFunc(c.targets, func(o *clusterTarget) bool { return o != t && o.addr == t.addr && o.running && !o.cutFromHolder })
	c.mu.Unlock()
	switch {
	case answers:
		return &clusterConn{c, t, process}, nil
	case misrouted:
		return nil, &statement.DialError{Outcome: statement.DialRejected, Code: statement.Misrouted, Cause: errors.New("misrouted")}
	case silent:
		<-ctx.Done()
		return nil, &statement.DialError{Outcome: statement.DialTimedOut, Cause: ctx.Err()}
	}
	return nil, &statement.DialError{Outcome: statement.DialRefused, Cause: errors.New("refused")}
}

// isSilent reports whether the holder's connection attempts get no response.
func (t *clusterTarget) isSilent() bool {
	if t.cutFromHolder {
		return !t.cutRefuses
	}
	return !t.running && t.silent
}

// clusterConn is a connection to one process of a target.
type clusterConn struct {
	cluster *cluster
	target  *clusterTarget
	process int64
}

func (c *clusterConn) Alive() bool { return true }
func (c *clusterConn) Close()      {}

func (c *clusterConn) Exchange(deadline time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	time.Sleep(time.Millisecond)
	c.cluster.mu.Lock()
	if c.target.isSilent() {
		c.cluster.mu.Unlock()
		time.Sleep(time.Until(deadline))
		return nil, &statement.ConnError{Sent: true, Timeout: true, Cause: errors.New("timeout")}
	}
	defer c.cluster.mu.Unlock()
	if !c.target.running || c.target.cutFromHolder || c.target.process != c.process {
		return nil, &statement.ConnError{Sent: true, Cause: errors.New("reset")}
	}
	answers := make([]statement.Answer, len(batch))
	for i, st := range batch {
		answers[i] = c.cluster.run(c.target, st)
	}
	return answers, nil
}

// run carries out a statement of the proxy at a target.
func (c *cluster) run(t *clusterTarget, st statement.Statement) (a statement.Answer) {
	switch {
	case st.Kind == statement.Begin && t != c.leader:
		a.Code = statement.ReadOnly
	case st.Kind == statement.Pause && t != c.leader && st.Term > t.term:
		t.paused = st.Term
		c.tracef("%s is paused with %s", t.id, t.position())
	case st.Kind == statement.Resume:
		t.paused = 0
	}
	status, err := json.Marshal(statement.TargetStatus{Primary: t == c.leader, Term: t.term, Received: t.position(), PausedTerm: t.paused})
	if err != nil {
		panic(err)
	}
	a.Rows, a.Position, a.HasPosition = []string{string(status)}, t.position(), true
	return a
}

func parseClusterStatus(row string) (s statement.TargetStatus, err error) {
	err = json.Unmarshal([]byte(row), &s)
	return s, err
}
