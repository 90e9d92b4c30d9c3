package promotion

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// unknownFloor is a view of a group whose leader is gone and whose voters can't tell what callers
// heard of. "a" is paused and has the most; the other member is given.
func unknownFloor(other Member) View {
	return View{
		AckReplicas: 1, Leader: "p", Replace: true, Confirmed: true, MaySeal: true, RegisterRead: true,
		Sealing: confirm.Sealing{Closed: true}, Members: []Member{replica("a", pos(1, 7), 2), other},
	}
}

// Guards against this failure: targets that no host reached were left out of a promotion whose
// voters couldn't tell what callers had heard of.
func TestSilentTargetBlocksPromotionUnlessItsEndIsProved(t *testing.T) {
	for name, test := range map[string]struct {
		other    Member
		promotes bool
	}{
		"answers":                 {replica("b", pos(1, 5), 2), true},
		"silent":                  {Member{ID: "b", Reach: Unresponsive, Unregistered: true}, false},
		"refuses":                 {Member{ID: "b", Reach: Dead, Unregistered: true}, false},
		"ended, log bounded":      {Member{ID: "b", Reach: Dead, LogSince: pos(1, 7), Unregistered: true}, true},
		"ended, log longer":       {Member{ID: "b", Reach: Dead, LogSince: pos(1, 8), Unregistered: true}, false},
		"another has its address": {Member{ID: "b", Reach: Reassigned, Unregistered: true}, true},
		"ended and covered":       {Member{ID: "b", Reach: Unresponsive, Covered: true, Unregistered: true}, true},
		"covered, but it answers": {Member{ID: "b", Reach: UnregisteredTarget, Covered: true, Unregistered: true}, false},
		"restarted, no log bound": {Member{ID: "b", Reach: Answered, LostLog: true, Status: replica("b", pos(1, 5), 2).Status}, false},
		"restarted, log bounded":  {Member{ID: "b", Reach: Answered, LostLog: true, LostLogEnd: pos(1, 7), Status: replica("b", pos(1, 5), 2).Status}, true},
	} {
		step := NextStep(unknownFloor(test.other))
		wait, waits := step.(Wait)
		qt.Check(t, waits, qt.Equals, !test.promotes, qt.Commentf("%s: %#v", name, step))
		if waits {
			qt.Check(t, wait.For, qt.DeepEquals, []topology.TargetID{"b"}, qt.Commentf(name))
		}
	}
}

// Guards against this failure: a replica that had started again without its log, cut off from the
// store, was taken for the one that had acknowledged commits.
func TestUnregisteredReplicaThatAnswersBlocksPromotion(t *testing.T) {
	for _, unregistered := range []topology.TargetID{"a", "b"} { // the candidate, and another one
		v := unknownFloor(replica("b", pos(1, 5), 2))
		for i := range v.Members {
			v.Members[i].Unregistered = v.Members[i].ID == unregistered
		}
		wait, waits := NextStep(v).(Wait)
		qt.Assert(t, waits, qt.IsTrue, qt.Commentf("%s", unregistered))
		qt.Check(t, wait.For, qt.DeepEquals, []topology.TargetID{unregistered})
		v.Sealing.Known = true // then it doesn't matter
		qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}))
	}
}

// Guards against this failure: a target that had registered while the store was silent to the
// holder was unknown to it.
func TestPromotionWaitsForTheRegisterIfVotersCannotTell(t *testing.T) {
	v := unknownFloor(replica("b", pos(1, 5), 2))
	v.RegisterRead = false
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue)
	v.Covering = pos(1, 7)
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}), qt.Commentf("the register doesn't matter"))
	v.Covering, v.RegisterRead = topology.Position{}, true
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}))

	reads, err := registerReads{}, errors.New("silent")
	closedAt := steady.Now()
	read := func(context.Context) error { return err }
	readAt := func(at time.Time) bool {
		reads.start(context.Background(), read, at)
		reads.wait(context.Background())
		return reads.succeededSince(closedAt)
	}
	qt.Check(t, readAt(closedAt.Add(time.Millisecond)), qt.IsFalse)
	err = nil
	qt.Check(t, readAt(closedAt.Add(2*time.Millisecond)), qt.IsFalse, qt.Commentf("no read is due"))
	qt.Check(t, readAt(closedAt.Add(2*registerReadInterval)), qt.IsTrue)
	closedAt = closedAt.Add(time.Hour)
	qt.Check(t, readAt(closedAt.Add(-time.Minute)), qt.IsFalse, qt.Commentf("the read began before the voters were closed"))
}

// A leader that serves tells what callers may have heard of, if it is asked after the voters were
// closed: whatever other targets have, and whether or not they answer.
func TestLeaderThatServesTellsWhatCallersMayHaveHeard(t *testing.T) {
	v := unknownFloor(Member{ID: "b", Reach: Unresponsive, Unregistered: true})
	v.LeaderServes = true
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("it wasn't asked since"))
	v.Members[1] = replica("b", pos(1, 5), 2)
	_, waits = NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("nobody may know of a target that acknowledged commits"))
	v.Members[1] = Member{ID: "b", Reach: Unresponsive, Unregistered: true}
	v.Covering = pos(1, 8)
	_, waits = NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("the candidate lacks what it has"))
	v.Covering = pos(1, 7)
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}))

	w := NewWatcher(Options{Group: "g", Duty: permanentDuty{}, Log: logr.Discard()})
	closedAt := steady.Now()
	w.leaderProvedAt, w.leaderPosition = closedAt.Add(-1), pos(1, 9)
	qt.Check(t, w.coveringPosition(true, closedAt).IsZero(), qt.IsTrue, qt.Commentf("from before"))
	w.leaderProvedAt = closedAt.Add(1)
	qt.Check(t, w.coveringPosition(false, closedAt).IsZero(), qt.IsTrue, qt.Commentf("it doesn't lead"))
	qt.Check(t, w.coveringPosition(true, closedAt), qt.Equals, pos(1, 9))
	w.leaderPosition = pos(1, 12)
	qt.Check(t, w.coveringPosition(true, closedAt), qt.Equals, pos(1, 9), qt.Commentf("the candidate has to reach the first one"))
	qt.Check(t, w.coveringPosition(false, closedAt.Add(time.Second)).IsZero(), qt.IsTrue, qt.Commentf("voters of a later seal"))
}

// Guards against this failure: where primaries aren't fenced, the position of a primary that was
// replaced and led on was taken for what callers may have heard of.
func TestReplacedLeaderThatLeadsOnDoesNotTellWhatCallersMayHaveHeard(t *testing.T) {
	w := NewWatcher(Options{Group: "g", Duty: permanentDuty{}, Leases: &unfencedGroup{}, Log: logr.Discard()})
	closedAt := steady.Now()
	w.leader, w.leaderProvedAt, w.leaderPosition = "p", closedAt.Add(1), pos(1, 9)
	qt.Check(t, w.coveringPosition(true, closedAt).IsZero(), qt.IsTrue)
	w.requests.verified = "p"
	qt.Check(t, w.coveringPosition(true, closedAt), qt.Equals, pos(1, 9))
}

// storelessDuty is a duty whose record of members the store doesn't take while it is silent.
type storelessDuty struct {
	recordedDuty
	silent atomic.Bool
	writes atomic.Int64
}

func (d *storelessDuty) RecordMembers(ctx context.Context, id topology.GroupID, members []duty.Member) error {
	d.writes.Add(1)
	if d.silent.Load() {
		return errors.New("the store is silent")
	}
	return d.recordedDuty.RecordMembers(ctx, id, members)
}

func (d *storelessDuty) MembersStored(id topology.GroupID, targets []topology.TargetID) bool {
	return len(d.Members(id)) >= len(targets)
}

// Guards against this failure: callers heard of commits of a group whose members the store didn't
// list yet, so that a later holder took the one that had them for unknown.
func TestCommitsAreOpenedOnceTheStoreListsTheMembers(t *testing.T) {
	g, d, commits := newTestGroup("p", "a", "b"), &storelessDuty{}, &countingCommits{}
	d.silent.Store(true)
	g.watch(t, d, func(o *Options) { o.Commits = commits })
	for deadline := time.Now().Add(maintainInterval); d.writes.Load() < 3; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the record is repeated with each tick, not with each look at the replicas"))
	}
	qt.Check(t, commits.maintained.Load(), qt.Equals, int64(0))
	d.silent.Store(false)
	d.awaitMember(t, "b", true)
	for deadline := time.Now().Add(5 * time.Second); commits.maintained.Load() == 0; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("commits are opened"))
	}
}

// A promotion that waits tells operators for which targets, and since when.
func TestDelayedPromotionTellsWhatItWaitsFor(t *testing.T) {
	g, commits := newTestGroup("p", "a", "b"), &lostVoters{}
	d := &recordedDuty{}
	w := NewWatcher(Options{Group: "g", Dialer: g, Parse: parseTestStatus, Promoter: g, Duty: d, Catalog: g.store, Commits: commits,
		GroupView: group.New(group.Options{ID: "g", Dialer: g, Log: logr.Discard()}), Hosts: func() int { return 3 }, Log: logr.Discard()})
	all := NewWatchers()
	all.watchers["g"] = w
	tickUntil := func(what string, ok func() bool) {
		for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(attemptInterval) {
			w.tick(context.Background())
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
		}
	}
	tickUntil("members are recorded", func() bool { return len(d.Members("g")) == 3 })
	qt.Check(t, all.Delays(), qt.HasLen, 0)
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].down, targets["b"].down = true, true })
	tickUntil("the promotion waits for some time", func() bool { d := all.Delays(); return len(d) == 1 && d[0].SinceMS > 300 })
	delay := all.Delays()[0]
	qt.Check(t, delay.Group, qt.Equals, topology.GroupID("g"))
	qt.Check(t, delay.Leader, qt.Equals, topology.TargetID("p"))
	qt.Assert(t, delay.WaitsFor, qt.HasLen, 1)
	qt.Check(t, delay.WaitsFor[0].ID, qt.Equals, topology.TargetID("b"))
	qt.Check(t, delay.WaitsFor[0].Addr, qt.Equals, "b")
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["b"].down = false })
	tickUntil("it is requested", func() bool { return len(g.requests()) > 0 })
	qt.Check(t, all.Delays(), qt.HasLen, 0)
}
