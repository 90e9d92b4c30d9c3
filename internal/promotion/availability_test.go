package promotion

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// addrGroup dials by address: the occupant refuses other IDs.
type addrGroup struct {
	*testGroup
	occupant map[string]topology.TargetID
}

func (g *addrGroup) Dial(ctx context.Context, t topology.Target, c topology.CustomerID) (statement.Conn, error) {
	g.mu.Lock()
	id := g.occupant[t.Addr]
	target := g.targets[id]
	g.mu.Unlock()
	if target == nil || target.down {
		return nil, &statement.DialError{Outcome: statement.DialRefused, Cause: context.Canceled}
	}
	if id != t.ID {
		return nil, &statement.DialError{Outcome: statement.DialRejected, Code: statement.Misrouted, Cause: context.Canceled}
	}
	return &testConn{g.testGroup, target}, nil
}

// A target that left handed its log to the one at its address and must not block later
// promotions.
func TestCrashOfTargetThatTookOverAnAddressIsFollowedByPromotion(t *testing.T) {
	g := &addrGroup{newTestGroup("p", "a", "b"), map[string]topology.TargetID{"X": "p", "a": "a", "b": "b"}}
	m := func(id, addr string, leaving bool) catalog.Member {
		return catalog.Member{Target: topology.Target{ID: topology.TargetID(id), Group: "g", Addr: addr, Leaving: leaving, Domain: topology.Domain("d" + addr)}, Incarnation: 1}
	}
	// "old" left in a release at address X; "p" came there with its log.
	g.registerMembers(map[topology.TargetID]catalog.Member{"old": m("old", "X", true), "a": m("a", "a", false), "b": m("b", "b", false)})
	g.registerMembers(map[topology.TargetID]catalog.Member{"p": m("p", "X", false), "a": m("a", "a", false), "b": m("b", "b", false)})
	g.watch(t, &recordedDuty{}, func(o *Options) {
		o.Dialer = g
		o.AskHosts = func(_ context.Context, target topology.Target) *EndEvidence {
			e := &EndEvidence{AskedAt: steady.Now(), Domains: []topology.Domain{"dX", "da", "db"}}
			for _, d := range e.Domains {
				e.Answers = append(e.Answers, HostAnswer{Domain: d, Result: TargetRefused})
			}
			return e
		}
	})
	time.Sleep(5 * time.Second) // the leader serves
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].down = true })
	time.Sleep(6 * time.Second)
	g.registerMembers(map[topology.TargetID]catalog.Member{"a": m("a", "a", false), "b": m("b", "b", false)})
	time.Sleep(10 * time.Second)
	qt.Assert(t, g.requests(), qt.Not(qt.HasLen), 0)
}

// A target that has ended, and whose commits another one has, must not block a later holder
// whose host saw it registered: not if its address is another group's, which proves the end, and
// not if the voters tell what callers heard of.
func TestNewHolderDoesNotWaitForCoveredTarget(t *testing.T) {
	t.Run("its address is reused", func(t *testing.T) { t.Parallel(); checkCoveredTarget(t, true, nil) })
	t.Run("voters answer", func(t *testing.T) { t.Parallel(); checkCoveredTarget(t, false, &countingCommits{}) })
}

func checkCoveredTarget(t *testing.T, reused bool, commits Commits) {
	g := &addrGroup{newTestGroup("p", "a", "b"), map[string]topology.TargetID{"p": "p", "a": "a", "b": "b"}}
	m := func(id string) catalog.Member {
		return catalog.Member{Target: topology.Target{ID: topology.TargetID(id), Group: "g", Addr: id, Domain: topology.Domain("d" + id)}, Incarnation: 1}
	}
	three := map[topology.TargetID]catalog.Member{"p": m("p"), "a": m("a"), "b": m("b")}
	four := map[topology.TargetID]catalog.Member{"p": m("p"), "a": m("a"), "b": m("b"), "dead": m("dead")}
	g.registerMembers(four)
	if reused {
		other := m("other")
		other.Target.Group, other.Target.Addr = "g2", "dead"
		three["other"], g.occupant["dead"] = other, "b" // any other ID
	}
	g.registerMembers(three)
	ask := func(_ context.Context, target topology.Target) *EndEvidence {
		e := &EndEvidence{AskedAt: steady.Now(), Domains: []topology.Domain{"dp", "da", "db", "ddead"}}
		for _, d := range e.Domains {
			e.Answers = append(e.Answers, HostAnswer{Domain: d, Result: TargetSilent})
		}
		return e
	}
	d := &recordedDuty{}
	ctx, cancel := context.WithCancel(context.Background())
	opts := Options{Group: "g", Dialer: g, Parse: parseTestStatus, Promoter: g, Duty: d, Catalog: g.store, AskHosts: ask, Commits: commits,
		GroupView: group.New(group.Options{ID: "g", Dialer: g, Log: logr.Discard()}), Hosts: func() int { return 3 }, Log: logr.Discard()}
	first := NewWatcher(opts)
	go first.Run(ctx)
	d.awaitMember(t, "dead", true)
	time.Sleep(9 * time.Second)
	cancel()
	time.Sleep(500 * time.Millisecond)
	g.watch(t, d, func(o *Options) { o.Dialer, o.AskHosts, o.Commits = g, ask, commits })
	time.Sleep(100 * time.Millisecond) // the new holder has just found the leader
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].down = true })
	time.Sleep(15 * time.Second)
	qt.Assert(t, g.requests(), qt.Not(qt.HasLen), 0)
}

// A leader that only the holder reaches has commits that nobody can be expected to receive.
func TestLeaderThatReachesNoReplicaIsReplaced(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	w := NewWatcher(Options{Group: "g", Dialer: g, Parse: parseTestStatus, Promoter: g, Duty: &recordedDuty{}, Catalog: g.store,
		GroupView: group.New(group.Options{ID: "g", Dialer: g, Log: logr.Discard()}), Hosts: func() int { return 3 }, Log: logr.Discard()})
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].received = pos(1, 9) }) // 2 not acknowledged
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	for range 40 {
		w.Report("h2", "p")
		w.Report("h3", "p")
		time.Sleep(200 * time.Millisecond)
	}
	qt.Check(t, len(g.requests()) > 0, qt.IsTrue)
	cancel()
	<-done
}

// The register may tell of a restart between the look at the targets and the record.
func TestRecordKeepsLostLogOfTargetThatRestartsMeanwhile(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	d := &recordedDuty{members: []duty.Member{{ID: "a", Addr: "a", Incarnation: 1}, {ID: "b", Addr: "b", Incarnation: 1}, {ID: "p", Addr: "p", Incarnation: 1, Leads: true}}}
	w := NewWatcher(Options{Group: "g", Dialer: g, Parse: parseTestStatus, Promoter: g, Duty: d, Catalog: g.store,
		GroupView: group.New(group.Options{ID: "g", Dialer: g, Log: logr.Discard()}), Hosts: func() int { return 3 }, Log: logr.Discard()})
	ctx := context.Background()
	w.syncProbers()
	w.leader = "p"
	view := w.probeReplicas(ctx)
	members := map[topology.TargetID]catalog.Member{}
	for id, inc := range map[topology.TargetID]int64{"p": 1, "a": 1, "b": 2} {
		members[id] = catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id)}, Incarnation: inc}
	}
	g.registerMembers(members) // b starts again between the look at the register and the record
	w.recordMembers(ctx, &view)
	time.Sleep(50 * time.Millisecond)
	w.syncProbers()
	view = w.probeReplicas(ctx)
	qt.Check(t, view.Members[1].LostLog, qt.IsTrue)
	qt.Check(t, d.Members("g")[1].Incarnation, qt.Equals, int64(1))
	w.recordMembers(ctx, &view)
	view = w.probeReplicas(ctx)
	qt.Check(t, view.Members[1].LostLog, qt.IsTrue, qt.Commentf("no bound known, flag must stay"))
}

// A target that lost its log can't complete the promotion that was requested for it.
func TestTargetOfUnansweredRequestThatLostItsLogIsPassedOver(t *testing.T) {
	v := View{AckReplicas: 1, Replace: true, Members: []Member{replica("a", pos(1, 0), 0), replica("b", pos(1, 7), 0)}}
	qt.Check(t, v.mayComplete("a"), qt.IsTrue)
	v.Members[0].LostLog = true
	qt.Check(t, v.mayComplete("a"), qt.IsFalse)
}

// A target that returned under another ID while the register wasn't heard of has commits.
func TestUnregisteredTargetAtAddressOfCoveredOneCounts(t *testing.T) {
	for reach, counts := range map[Reach]bool{Dead: false, Unresponsive: false, UnregisteredTarget: true, Overloaded: true} {
		v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", pos(1, 7), 0), {ID: "b", Reach: reach, Covered: true}}}
		_, waits := NextStep(v).(Wait)
		qt.Check(t, waits, qt.Equals, counts, qt.Commentf("%s", reach))
	}
}
