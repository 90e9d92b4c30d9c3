package promotion

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A request without an answer may be carried out while a returned leader serves.
func TestUnansweredPromotionIsCompletedThoughTheLeaderReturns(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	lost := 0
	g.onRequest = func(id topology.TargetID) Reply {
		if lost++; lost == 1 {
			g.targets["p"].down = false
			return Reply{Outcome: Unanswered}
		}
		for other, target := range g.targets {
			target.leads = other == id
		}
		return Reply{Outcome: Accepted}
	}
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].down = true })
	g.watch(t, &recordedDuty{}, func(o *Options) { o.GroupView.NoteReportedLeader("p", steady.Now()) })
	for deadline := time.Now().Add(5 * time.Second); len(g.requests()) < 2; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("requests: %v", g.requests()))
	}
	qt.Check(t, g.requests(), qt.DeepEquals, []topology.TargetID{"a", "a"})
}

// A restart ends a pause. Until the promotion has its effect, the replica is paused again.
func TestReplicaThatLosesItsPauseIsPausedAgain(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	g.onRequest = func(topology.TargetID) Reply {
		g.targets["b"].paused = 0
		return Reply{Outcome: Accepted} // takes effect later
	}
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].down = true })
	g.watch(t, &recordedDuty{}, func(o *Options) { o.GroupView.NoteReportedLeader("p", steady.Now()) })
	g.awaitRequest(t, "a")
	for deadline := time.Now().Add(effectTimeout - time.Second); ; time.Sleep(5 * time.Millisecond) {
		paused := false
		g.with(func(targets map[topology.TargetID]*testTarget) { paused = targets["b"].paused > 0 })
		if paused {
			return
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
}

// The register may tell of a new replica only when the promotion is about to be requested.
func TestReplicaThatJoinsBeforeThePromotionIsPaused(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	joined := false
	g.with(func(targets map[topology.TargetID]*testTarget) {
		targets["p"].down = true
		targets["n"] = &testTarget{received: pos(1, 9)}
	})
	g.watch(t, &recordedDuty{}, func(o *Options) {
		o.GroupView.NoteReportedLeader("p", steady.Now())
		o.ReadRegister = func(context.Context) error {
			if !joined {
				joined = true
				g.register("p", "a", "b", "n")
			}
			return nil
		}
	})
	g.awaitRequest(t, "n")
}

// A target that joined unseen and is gone again may have confirmed commits that the
// candidate hasn't received yet.
func TestPlannedPromotionWaitsForPositionOfServingLeader(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].received = pos(1, 9) })
	members := map[topology.TargetID]catalog.Member{}
	for _, id := range []topology.TargetID{"p", "a", "b"} {
		members[id] = catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id), Leaving: id == "p"}}
	}
	g.registerMembers(members)
	g.watch(t, &recordedDuty{}, nil)
	time.Sleep(time.Second)
	qt.Check(t, g.requests(), qt.HasLen, 0)
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["a"].received = pos(1, 9) })
	g.awaitRequest(t, "a")
}

// Two hosts may act as the holder for a while. One that sees its leader serve doesn't end
// the pauses of the other.
func TestHolderKeepsPausesOfAnotherHolder(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	g.watch(t, &recordedDuty{}, nil)
	time.Sleep(3 * idleInterval)
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["b"].paused = 2 })
	time.Sleep(2*maintainInterval + time.Second)
	g.with(func(targets map[topology.TargetID]*testTarget) {
		qt.Check(t, targets["b"].paused, qt.Equals, uint64(2))
	})
}

// A replica that an earlier attempt left paused can't catch up with the leader.
func TestPausedCandidateIsResumedToCatchUp(t *testing.T) {
	leaving := replica("a", pos(2, 9), 3)
	leaving.Leaving = true
	v := View{AckReplicas: 1, Leader: "p", Replace: true, LeaderServes: true, MayEndPauses: true, Members: []Member{leaving, replica("b", pos(1, 7), 3)}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Resume{Targets: []topology.TargetID{"b"}}))
	v.MayEndPauses = false
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue)
}

// The promotion ends only pauses of its own term: replicas stayed paused after it.
func TestPausesHaveTheTermOfThePromotion(t *testing.T) {
	v := View{AckReplicas: 1, Leader: "p", Replace: true, Members: []Member{replica("a", pos(1, 9), 0), replica("b", pos(1, 9), 2), replica("c", pos(1, 9), 0)}}
	qt.Check(t, NextStep(v), qt.DeepEquals, Step(Pause{Term: 2, Targets: []topology.TargetID{"c"}}))
}

// An earlier request for a target may be carried out before the platform sees the higher
// token of a request for another one.
func TestUnansweredPromotionIsRepeatedThoughItsTargetLeaves(t *testing.T) {
	g := newTestGroup("p", "a", "b")
	g.onRequest = func(topology.TargetID) Reply {
		members := map[topology.TargetID]catalog.Member{}
		for _, id := range []topology.TargetID{"p", "a", "b"} {
			members[id] = catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id), Leaving: id == "a"}, Incarnation: 1}
		}
		g.registerMembers(members)
		return Reply{Outcome: Unanswered}
	}
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["p"].down = true })
	g.watch(t, &recordedDuty{}, func(o *Options) { o.GroupView.NoteReportedLeader("p", steady.Now()) })
	for deadline := time.Now().Add(5 * time.Second); len(g.requests()) < 3; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("requests: %v", g.requests()))
	}
	qt.Check(t, g.requests()[:3], qt.DeepEquals, []topology.TargetID{"a", "a", "a"})
}
