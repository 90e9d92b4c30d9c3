package promotion

import (
	"context"
	"slices"
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

// A holder that starts after a replica left the register doesn't promote a target that
// lacks commits which that replica may have.
func TestNewHolderWaitsForReplicaThatLeftTheRegister(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	d := &recordedDuty{members: []duty.Member{{ID: "a", Addr: "a", Incarnation: 1}, {ID: "b", Addr: "b", Incarnation: 1}, {ID: "p", Addr: "p", Incarnation: 1, Leads: true}}}
	g.with(func(targets map[topology.TargetID]*testTarget) {
		targets["p"].down, targets["b"].down = true, true
		targets["b"].received = pos(1, 9)
	})
	g.restartHost()
	g.register("a")
	g.watch(t, d, nil)
	time.Sleep(effectTimeout + unregisteredDeadAfter + time.Second)
	qt.Check(t, g.requests(), qt.HasLen, 0)
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["b"].down = false })
	g.register("a", "b")
	g.awaitRequest(t, "b")
}

// A replica that lost its log by a restart may have been the only one with a commit.
func TestReplicaThatLostItsLogBlocksPromotion(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	d := &recordedDuty{}
	g.watch(t, d, nil)
	d.awaitMember(t, "b", true)
	g.with(func(targets map[topology.TargetID]*testTarget) {
		targets["p"].down = true
		targets["b"].received = pos(1, 0)
	})
	members := map[topology.TargetID]catalog.Member{}
	for id, incarnation := range map[topology.TargetID]int64{"p": 1, "a": 1, "b": 2} {
		members[id] = catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id)}, Incarnation: incarnation}
	}
	g.registerMembers(members)
	time.Sleep(2 * time.Second)
	qt.Check(t, g.requests(), qt.HasLen, 0)
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].down = false }) // the leader's position bounds the lost log
	time.Sleep(500 * time.Millisecond)
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].down = true })
	g.awaitRequest(t, "a")
}

// Ended targets and lost logs stay recorded until another target has what they had.
func TestRecordKeepsTargetsWhoseLogsAreNeeded(t *testing.T) {
	recorded := []duty.Member{{ID: "a", Incarnation: 1}, {ID: "old", Incarnation: 1}}
	registered := []catalog.Member{{Target: topology.Target{ID: "a"}, Incarnation: 2}, {Target: topology.Target{ID: "n"}, Incarnation: 1}}
	for _, test := range []struct {
		name         string
		old          Member
		lostLogEnd   topology.Position
		wantOld      bool
		wantRecorded int64 // incarnation of "a"
	}{
		{"nothing known", Member{ID: "old", Reach: Unresponsive}, topology.Position{}, true, 1},
		{"ended without a bound", Member{ID: "old", Reach: Dead}, pos(1, 8), true, 2},
		{"bound not reached", Member{ID: "old", Reach: Dead, LogSince: pos(1, 9)}, pos(1, 9), true, 1},
		{"bound reached", Member{ID: "old", Reach: Dead, LogSince: pos(1, 8)}, pos(1, 8), false, 2},
	} {
		restarted := replica("a", pos(1, 3), 0)
		restarted.LostLog, restarted.LostLogEnd = true, test.lostLogEnd
		v := View{Leader: "p", Members: []Member{restarted, replica("n", pos(1, 8), 0), test.old}}
		next := nextMembers(recorded, registered, &v)
		hasOld := slices.ContainsFunc(next, func(m duty.Member) bool { return m.ID == "old" && !m.Covered })
		qt.Check(t, hasOld, qt.Equals, test.wantOld, qt.Commentf(test.name))
		qt.Check(t, next[0].Incarnation, qt.Equals, test.wantRecorded, qt.Commentf(test.name))
	}
}

// A target that was taken for the leader and denies it is a replica that may have commits.
func TestDemotedLeaderCountsAsReplica(t *testing.T) {
	g := newTestGroup("p", "a")
	g.watch(t, &recordedDuty{}, nil)
	time.Sleep(3 * idleInterval)
	g.with(func(targets map[topology.TargetID]*testTarget) {
		targets["p"].leads = false
		targets["p"].received = pos(1, 9)
	})
	g.awaitRequest(t, "p")
}

// An address that a target of another group uses doesn't tell what the former one had.
func TestReplicaWhoseAddressIsReusedCountsUntilItsLogIsBounded(t *testing.T) {
	pr := &prober{dialer: &failingDialer{statement.DialError{Outcome: statement.DialRejected, Code: statement.Misrouted, Cause: context.Canceled}}, target: topology.Target{ID: "r"}}
	pr.updateRegistration(time.Second, otherGroup)
	_, reach := pr.command(context.Background(), statement.Status, 0)
	qt.Check(t, reach, qt.Equals, Dead)
	qt.Check(t, pr.endedSince.IsZero(), qt.IsFalse)
	v := View{AckReplicas: 1, Replace: true, Members: []Member{replica("a", pos(1, 7), 0), {ID: "r", Reach: reach, LogSince: pr.logUpperBound}}}
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue)
}

// A target that had ended may have returned though the register doesn't tell yet. It is promoted
// once its entry tells that it hasn't lost its log meanwhile, and no other target is before.
func TestReturnedTargetIsDialedBeforePromotion(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	g.register("p", "a")
	members := []duty.Member{{ID: "b", Addr: "b", Domain: "d", Incarnation: 1}}
	w := NewWatcher(Options{Group: "g", Dialer: g, Parse: parseTestStatus, Promoter: g, Duty: &recordedDuty{members: members}, Catalog: g.store,
		GroupView: group.New(group.Options{ID: "g", Dialer: g, Log: logr.Discard()}), Hosts: func() int { return 3 }, Log: logr.Discard()})
	w.syncProbers()
	pr := w.probers["b"]
	pr.endedSince, pr.logUpperBound, pr.redialAt = steady.Now(), pos(1, 7), steady.Now().Add(time.Minute)
	w.leader, w.leaderProvedAt = "p", steady.Now()
	g.with(func(targets map[topology.TargetID]*testTarget) {
		targets["p"].leads = false
		targets["b"].received = pos(1, 9)
	})
	for range 5 {
		w.tick(context.Background())
	}
	qt.Assert(t, g.requests(), qt.HasLen, 0)
	g.register("p", "a", "b")
	for range 5 {
		w.tick(context.Background())
	}
	qt.Assert(t, len(g.requests()) > 0, qt.IsTrue)
	qt.Check(t, g.requests()[0], qt.Equals, topology.TargetID("b"))
}
