package promotion

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// testTarget is one target of a testGroup.
type testTarget struct {
	received topology.Position
	paused   uint64
	leads    bool
	down     bool // doesn't respond
}

// testGroup is a group of targets, its register and its platform. It implements
// statement.Dialer and Promoter.
type testGroup struct {
	mu        sync.Mutex
	targets   map[topology.TargetID]*testTarget
	store     *catalog.Store
	revision  uint64
	promoted  []topology.TargetID
	onRequest func(topology.TargetID) Reply // nil: accepted and carried out at once
}

func newTestGroup(ids ...topology.TargetID) *testGroup {
	g := &testGroup{targets: map[topology.TargetID]*testTarget{}}
	g.restartHost()
	for _, id := range ids {
		g.targets[id] = &testTarget{received: pos(1, 7)}
	}
	g.targets[ids[0]].leads = true
	g.register(ids...)
	return g
}

// restartHost makes the host forget what the register contained.
func (g *testGroup) restartHost() {
	g.store = catalog.NewStore()
	g.store.OfferConfiguration(&catalog.Configuration{Version: 1, Groups: map[topology.GroupID]catalog.Group{"g": {ID: "g", AckReplicas: 1}}})
}

// register replaces the register by the targets, each at an address of its own.
func (g *testGroup) register(ids ...topology.TargetID) {
	members := map[topology.TargetID]catalog.Member{}
	for _, id := range ids {
		members[id] = catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id)}, Incarnation: 1}
	}
	g.registerMembers(members)
}

func (g *testGroup) registerMembers(members map[topology.TargetID]catalog.Member) {
	g.revision++
	g.store.OfferRegistry(&catalog.Registry{Revision: g.revision, Members: members})
}

// with changes the targets.
func (g *testGroup) with(change func(targets map[topology.TargetID]*testTarget)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.targets)
}

func (g *testGroup) Dial(ctx context.Context, t topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	g.mu.Lock()
	target := g.targets[t.ID]
	down := target == nil || target.down
	g.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, &statement.DialError{Outcome: statement.DialTimedOut, Cause: ctx.Err()}
	}
	return &testConn{g, target}, nil
}

// Promote implements Promoter.
func (g *testGroup) Promote(_ context.Context, request Request) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.promoted = append(g.promoted, request.Target)
	if g.onRequest != nil {
		return g.onRequest(request.Target)
	}
	for id, t := range g.targets {
		t.leads, t.paused = id == request.Target, 0
	}
	return Reply{Outcome: Accepted}
}

func (g *testGroup) requests() []topology.TargetID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promoted)
}

// watch runs a watcher of the group until the test ends.
func (g *testGroup) watch(t *testing.T, d Duty, options func(*Options)) {
	t.Helper()
	opts := Options{
		Group: "g", Dialer: g, Parse: parseTestStatus, Promoter: g, Duty: d, Catalog: g.store,
		GroupView: group.New(group.Options{ID: "g", Dialer: g, Log: logr.Discard()}),
		Hosts:     func() int { return 3 }, Log: logr.Discard(),
	}
	if options != nil {
		options(&opts)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	w := NewWatcher(opts)
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

func formatTestStatus(t testTarget) string {
	return fmt.Sprint(t.leads, t.received.Term, t.received.Offset, t.paused)
}

func parseTestStatus(row string) (s statement.TargetStatus, err error) {
	_, err = fmt.Sscan(row, &s.Primary, &s.Received.Term, &s.Received.Offset, &s.PausedTerm)
	s.Term = s.Received.Term
	return s, err
}

type testConn struct {
	group  *testGroup
	target *testTarget
}

func (c *testConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.target.down {
		return nil, context.DeadlineExceeded
	}
	answers := make([]statement.Answer, len(batch))
	for i, st := range batch {
		answers[i].Position, answers[i].HasPosition = c.target.received, true
		switch st.Kind {
		case statement.Begin:
			if !c.target.leads {
				answers[i].Code = statement.ReadOnly
			}
		case statement.Pause:
			c.target.paused = st.Term
		case statement.Resume:
			c.target.paused = 0
		}
		answers[i].Rows = []string{formatTestStatus(*c.target)}
	}
	return answers, nil
}

func (c *testConn) Alive() bool { return true }
func (c *testConn) Close()      {}

// recordedDuty is a duty that this host holds, with the members that it or an earlier
// holder recorded.
type recordedDuty struct {
	permanentDuty
	mu      sync.Mutex
	members []duty.Member
}

func (d *recordedDuty) Members(topology.GroupID) []duty.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

func (d *recordedDuty) RecordMembers(_ context.Context, _ topology.GroupID, members []duty.Member) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
	return nil
}

// awaitMember waits until a member is in the record, or no longer in it.
func (d *recordedDuty) awaitMember(t *testing.T, id topology.TargetID, want bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if slices.ContainsFunc(d.Members("g"), func(m duty.Member) bool { return m.ID == id }) == want {
			return
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s recorded: want %t", id, want))
	}
}

func (g *testGroup) awaitRequest(t *testing.T, want topology.TargetID) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if requests := g.requests(); len(requests) > 0 {
			qt.Assert(t, requests[0], qt.Equals, want)
			return
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("no target was promoted"))
	}
}
