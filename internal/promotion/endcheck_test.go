package promotion

import (
	"context"
	"fmt"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// cutGroup is a group with the leader "p" in domain a and the replicas "b" and "c" in the
// domains of these names. "b" isn't registered any more, and only some hosts reach it. Each
// proof of leadership shows a later position, all of which "c" has received, as "b" may
// have. Each domain x has the hosts "x1" and "x2"; "a1" holds the duty.
type cutGroup struct {
	mu        sync.Mutex
	reachedBy []topology.HostID // hosts that reach "b"
	lost      []topology.HostID // hosts that answer nobody
	old       []topology.HostID // hosts that don't know the question
	refuses   bool              // "b" refuses connections of other hosts than reachedBy
	delay     time.Duration     // of each host's answer
	questions []time.Time       // when hosts of domain b were asked
	lines     []string          // of the log
	position  uint64
	paused    map[topology.TargetID]uint64
	requested chan Request
	store     *catalog.Store
	leaving   bool // "p" is leaving, as register tells
	commits   Commits
}

var cutGroupTargets = []topology.Target{
	{ID: "p", Group: "g", Domain: "a", Addr: "p"},
	{ID: "b", Group: "g", Domain: "b", Addr: "b"},
	{ID: "c", Group: "g", Domain: "c", Addr: "c"},
}

func newCutGroup() *cutGroup {
	g := &cutGroup{paused: map[topology.TargetID]uint64{}, requested: make(chan Request, 1), store: catalog.NewStore()}
	g.store.OfferConfiguration(&catalog.Configuration{Version: 1, Groups: map[topology.GroupID]catalog.Group{"g": {ID: "g", AckReplicas: 1}}})
	g.register(1, "p", "b", "c")
	return g
}

// register makes the targets the registered ones.
func (g *cutGroup) register(revision uint64, ids ...topology.TargetID) {
	members := map[topology.TargetID]catalog.Member{}
	for _, t := range cutGroupTargets {
		if slices.Contains(ids, t.ID) {
			t.Leaving = t.ID == "p" && g.leaving
			members[t.ID] = catalog.Member{Target: t}
		}
	}
	g.store.OfferRegistry(&catalog.Registry{Revision: revision, Members: members})
}

// cutGroupDialer is how one host reaches the targets.
type cutGroupDialer struct {
	group *cutGroup
	host  topology.HostID
}

func (d cutGroupDialer) Dial(ctx context.Context, t topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	d.group.mu.Lock()
	reached, refuses := t.ID != "b" || slices.Contains(d.group.reachedBy, d.host), d.group.refuses
	d.group.mu.Unlock()
	if !reached {
		if refuses {
			return nil, &statement.DialError{Outcome: statement.DialRefused, Cause: syscall.ECONNREFUSED}
		}
		<-ctx.Done()
		return nil, &statement.DialError{Outcome: statement.DialTimedOut, Cause: ctx.Err()}
	}
	return &cutGroupConn{d.group, t.ID}, nil
}

type cutGroupConn struct {
	group *cutGroup
	id    topology.TargetID
}

func (c *cutGroupConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	answers := make([]statement.Answer, len(batch))
	for i, st := range batch {
		switch {
		case st.Kind == statement.Begin && c.id != "p":
			answers[i].Code = statement.ReadOnly
		case st.Kind == statement.Begin:
			c.group.position++
			answers[i].Position, answers[i].HasPosition = pos(1, c.group.position), true
		case st.Kind == statement.Pause:
			c.group.paused[c.id] = st.Term
		}
		answers[i].Rows = []string{fmt.Sprint(c.group.position, c.group.paused[c.id])}
	}
	return answers, nil
}

func (c *cutGroupConn) Alive() bool { return true }
func (c *cutGroupConn) Close()      {}

func parseCutGroupStatus(row string) (s statement.TargetStatus, err error) {
	s.Term, s.Received.Term = 1, 1
	_, err = fmt.Sscan(row, &s.Received.Offset, &s.PausedTerm)
	return s, err
}

// Promote implements Promoter.
func (g *cutGroup) Promote(_ context.Context, request Request) Reply {
	select {
	case g.requested <- request:
	default:
	}
	return Reply{Outcome: NotDone}
}

// Call implements PeerClient: it passes the question on to the other host's service.
func (g *cutGroup) Call(ctx context.Context, host topology.HostID, method string, args, reply any) error {
	if host == "a1" {
		return errors.New("a host calls itself")
	}
	g.mu.Lock()
	lost, old, delay := slices.Contains(g.lost, host), slices.Contains(g.old, host), g.delay
	if host[0] == 'b' {
		g.questions = append(g.questions, steady.Now())
	}
	g.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if old || method != dialMethod {
		return rpc.ServerError("rpc: can't find method " + method)
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	return NewWatchers().Service(cutGroupDialer{g, host}).DialTarget(args.(*DialRequest), reply.(*DialReply))
}

// note records a log line.
func (g *cutGroup) note(_, line string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lines = append(g.lines, line)
}

// linesWith returns the log lines that contain the text.
func (g *cutGroup) linesWith(text string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(g.lines), func(line string) bool { return !strings.Contains(line, text) })
}

func (g *cutGroup) question() *EndQuestion {
	var hosts []topology.Host
	for _, d := range []topology.Domain{"a", "b", "c"} {
		for _, n := range []string{"1", "2"} {
			hosts = append(hosts, topology.Host{ID: topology.HostID(string(d) + n), Domain: d})
		}
	}
	return &EndQuestion{Self: "a1", Domains: []topology.Domain{"a", "b", "c"}, Hosts: func() []topology.Host { return hosts }, Peers: g, Dialer: cutGroupDialer{g, "a1"}}
}

func (g *cutGroup) watcher() *Watcher {
	view := group.New(group.Options{ID: "g", Dialer: cutGroupDialer{g, "a1"}, Log: logr.Discard()})
	view.NoteReportedLeader("p", steady.Now())
	return NewWatcher(Options{
		Group: "g", Dialer: cutGroupDialer{g, "a1"}, Parse: parseCutGroupStatus, Promoter: g, Duty: permanentDuty{},
		Catalog: g.store, GroupView: view, Hosts: func() int { return 6 }, AskHosts: g.question().Ask, Commits: g.commits, Log: funcr.New(g.note, funcr.Options{}),
	})
}

// endTime is the time within which a target that has ended is known to have: unregisteredDeadAfter,
// the next probe of the replicas, the hosts' answers and two ticks.
const endTime = unregisteredDeadAfter + maintainInterval + probeDialTimeout + endCheckTimeout + 500*time.Millisecond

// promoted reports whether a target is promoted within the time, after "b" left the register and
// the leader began to leave.
func (g *cutGroup) promoted(t *testing.T, within time.Duration) bool {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	w := g.watcher()
	go func() { defer close(stopped); w.Run(ctx) }()
	defer func() { cancel(); <-stopped }()
	time.Sleep(2 * idleInterval)
	g.register(2, "p", "c")
	time.Sleep(within - time.Second) // until then the watcher probes the replicas as it does while the leader serves
	g.leaving = true
	g.register(3, "p", "c")
	select {
	case request := <-g.requested:
		qt.Check(t, request.Target, qt.Equals, topology.TargetID("c"))
		return true
	case <-time.After(time.Second):
		return false
	}
}

// Guards against this failure: a replica that was cut off from the store and from the
// holder of the duty, but not from the leader, was taken for ended, and another one was
// promoted without the commits that it had acknowledged meanwhile.
func TestReplicaReachedByAnotherHostIsNotTakenForEnded(t *testing.T) {
	t.Parallel()
	var cases sync.WaitGroup // all at once, since each takes some seconds
	for _, test := range []struct {
		name string
		set  func(*cutGroup)
	}{
		{"reached within its domain", func(g *cutGroup) { g.reachedBy = []topology.HostID{"b1", "b2"} }},
		{"reached by one host of its domain", func(g *cutGroup) { g.reachedBy = []topology.HostID{"b1"} }},
		{"reached in the leader's domain", func(g *cutGroup) { g.reachedBy = []topology.HostID{"a2"} }},
		{"its domain is cut off", func(g *cutGroup) { g.lost = []topology.HostID{"b1", "b2"} }},
		{"the hosts of its domain are old", func(g *cutGroup) { g.old = []topology.HostID{"b1", "b2"} }},
	} {
		cases.Go(func() {
			g := newCutGroup()
			test.set(g)
			qt.Check(t, g.promoted(t, endTime+time.Second), qt.IsFalse, qt.Commentf(test.name))
			qt.Check(t, len(g.questionTimes()) > 0, qt.IsTrue, qt.Commentf("%s: the test has to get as far as the question", test.name))
		})
	}
	cases.Wait()
}

// A replica that has really ended must not block the replacement of a leader that leaves, also
// while hosts that are down, or older, don't answer and the voters can't tell what callers heard
// of. Nothing proves the end; the leader tells what it has.
func TestEndedReplicaDoesNotBlockPromotion(t *testing.T) {
	t.Parallel()
	var cases sync.WaitGroup // all at once, since each takes some seconds
	for _, test := range []struct {
		name string
		set  func(*cutGroup)
	}{
		{"all hosts answer", func(*cutGroup) {}},
		{"a host of each domain is down", func(g *cutGroup) { g.lost = []topology.HostID{"a2", "b2", "c2"} }},
		{"a host of each domain is old", func(g *cutGroup) { g.old = []topology.HostID{"a2", "b2", "c2"} }},
		{"a domain that isn't concerned is cut off", func(g *cutGroup) { g.lost = []topology.HostID{"c1", "c2"} }},
	} {
		cases.Go(func() {
			g := newCutGroup()
			g.commits = &lostVoters{}
			test.set(g)
			qt.Check(t, g.promoted(t, endTime), qt.IsTrue, qt.Commentf(test.name))
		})
	}
	cases.Wait()
}

// While a host reaches a target that seems to have ended, the question comes at intervals, and not
// while the target is registered or once it has ended. Each change of the answer is logged once.
func TestQuestionsAboutTheEndAreLimited(t *testing.T) {
	t.Parallel()
	g := newCutGroup()
	g.refuses, g.reachedBy = true, []topology.HostID{"a2"}
	w := g.watcher()
	tick := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(attemptInterval) {
			w.maintainedAt = time.Time{} // probes the replicas in each tick
			w.tick(context.Background())
		}
	}
	tick(500 * time.Millisecond)
	g.register(2, "p", "c")
	tick(unregisteredDeadAfter - 100*time.Millisecond)
	qt.Check(t, g.questionTimes(), qt.HasLen, 0)
	tick(2*endCheckInterval + 500*time.Millisecond)
	asked := g.questionTimes()
	qt.Check(t, len(asked) >= 2 && len(asked) <= 6, qt.IsTrue, qt.Commentf("%d calls to two hosts", len(asked)))
	for i := range asked[1:] {
		gap := asked[i+1].Sub(asked[i])
		qt.Check(t, gap < 100*time.Millisecond || gap >= endCheckInterval-100*time.Millisecond, qt.IsTrue, qt.Commentf("two questions %s apart", gap))
	}
	g.mu.Lock()
	g.reachedBy = nil
	g.mu.Unlock()
	tick(endCheckInterval + endCheckTimeout + 500*time.Millisecond)
	qt.Assert(t, w.probers["b"].presumedSince.IsZero(), qt.IsFalse)
	qt.Assert(t, w.probers["b"].endedSince.IsZero(), qt.IsTrue)
	concluded := len(g.questionTimes())
	tick(endCheckInterval + 500*time.Millisecond)
	qt.Check(t, g.questionTimes(), qt.HasLen, concluded)

	refuted := g.linesWith("target is not taken for ended")
	qt.Assert(t, refuted, qt.HasLen, 1)
	qt.Check(t, refuted[0], qt.Contains, "a2 in a: alive")
	confirmed := g.linesWith("target has ended")
	qt.Assert(t, confirmed, qt.HasLen, 1)
	qt.Check(t, confirmed[0], qt.Contains, "in b: refused")
}

func (g *cutGroup) questionTimes() []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.questions)
}

// The leader is probed as usual while hosts take long to answer.
func TestQuestionDoesNotDelayTicks(t *testing.T) {
	t.Parallel()
	g := newCutGroup()
	g.delay = endCheckTimeout / 2
	w := g.watcher()
	w.tick(context.Background())
	g.register(2, "p", "c")
	time.Sleep(unregisteredDeadAfter + 100*time.Millisecond)
	longest := time.Duration(0)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(attemptInterval) {
		w.lastTickAt, w.maintainedAt = time.Time{}, time.Time{}
		began := time.Now()
		w.tick(context.Background())
		longest = max(longest, time.Since(began))
	}
	qt.Check(t, w.probers["b"].presumedSince.IsZero(), qt.IsFalse)
	qt.Check(t, longest < g.delay, qt.IsTrue, qt.Commentf("a tick took %s, hosts %s to answer", longest, g.delay))
}

// slowDialer fails dials with an error, or accepts them if it is nil, after a time. It doesn't
// observe the context.
type slowDialer struct {
	err   error
	takes time.Duration
}

func (d slowDialer) Dial(context.Context, topology.Target, topology.CustomerID) (statement.Conn, error) {
	time.Sleep(d.takes)
	if d.err != nil {
		return nil, d.err
	}
	return &cutGroupConn{}, nil
}

// Only a refused connection and no response mean that a host doesn't reach a target. One
// that accepts connections is alive, and a host that was delayed can't tell.
func TestDialForAnotherHost(t *testing.T) {
	fails := func(o statement.DialOutcome) error {
		return &statement.DialError{Outcome: o, Cause: context.DeadlineExceeded}
	}
	for _, test := range []struct {
		dialer slowDialer
		want   DialResult
	}{
		{slowDialer{}, TargetAlive},
		{slowDialer{err: fails(statement.DialRefused)}, TargetRefused},
		{slowDialer{err: fails(statement.DialTimedOut)}, TargetSilent},
		{slowDialer{err: fails(statement.DialRejected)}, TargetAlive},
		{slowDialer{err: fails(statement.DialNoHandshake)}, TargetAlive},
		{slowDialer{err: fails(statement.DialNoHandshake), takes: 2 * maxDialTime}, TargetAlive},
		{slowDialer{err: context.Canceled}, NotDialed},
	} {
		var reply DialReply
		began := time.Now()
		err := NewWatchers().Service(test.dialer).DialTarget(&DialRequest{Target: cutGroupTargets[1]}, &reply)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, reply.Result, qt.Equals, test.want, qt.Commentf("%+v", test.dialer))
		qt.Check(t, time.Since(began) < maxDialTime+200*time.Millisecond, qt.IsTrue)
	}
	qt.Check(t, dialResult(fails(statement.DialTimedOut), maxDialTime+1), qt.Equals, NotDialed)
	qt.Check(t, dialResult(fails(statement.DialRefused), maxDialTime+1), qt.Equals, NotDialed)
	qt.Check(t, NewWatchers().Service(slowDialer{}).DialTarget(&DialRequest{}, &DialReply{}), qt.IsNotNil)
}

// The questions go to two hosts of each failure domain, this one included, and each host
// gets its turn.
func TestHostsOfAllDomainsAreAsked(t *testing.T) {
	var hosts []topology.Host
	for i := range 12 {
		hosts = append(hosts, topology.Host{ID: topology.HostID(fmt.Sprint(i)), Domain: topology.Domain(fmt.Sprint(min(i%4, 2)))})
	}
	hosts = append(hosts, topology.Host{ID: "alone", Domain: "single"})
	seen := map[topology.HostID]bool{}
	for range 200 {
		perDomain := map[topology.Domain]int{}
		for _, h := range pickPerDomain(hosts, hostsAskedPerDomain) {
			perDomain[h.Domain]++
			seen[h.ID] = true
		}
		qt.Assert(t, perDomain, qt.DeepEquals, map[topology.Domain]int{"0": 2, "1": 2, "2": 2, "single": 1})
	}
	qt.Check(t, seen, qt.HasLen, len(hosts))
}

// All failure domains count, those of the settings whose hosts are silent and those of live
// hosts that the settings lack. No question is asked about the leader.
func TestEvidenceCoversAllDomains(t *testing.T) {
	g := newCutGroup()
	q := g.question()
	q.Domains = []topology.Domain{"silent"}
	e := q.Ask(context.Background(), cutGroupTargets[1])
	qt.Check(t, e.Domains, qt.DeepEquals, []topology.Domain{"silent", "a", "b", "c"})
	qt.Check(t, e.Answers, qt.HasLen, 6)

	w := g.watcher()
	w.tick(context.Background())
	w.syncProbers()
	qt.Check(t, w.probers["b"].endCheck.leaderDomain, qt.Equals, topology.Domain("a"))
	leader := &w.probers["p"].endCheck
	leader.start(context.Background(), cutGroupTargets[0], steady.Now())
	qt.Check(t, leader.result, qt.IsNil)
}
