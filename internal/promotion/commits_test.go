package promotion

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// countingCommits has voters that an earlier holder may have sealed.
type countingCommits struct {
	maintained atomic.Int64
	slow       time.Duration // of Maintain
}

func (c *countingCommits) Seal(context.Context, topology.GroupID, uint64) confirm.Sealing {
	return confirm.Sealing{Closed: true, Known: true}
}
func (c *countingCommits) Order(context.Context, topology.GroupID, topology.TargetID) bool {
	return true
}
func (c *countingCommits) Dropped(topology.GroupID) []topology.TargetID { return nil }

func (c *countingCommits) Maintain(context.Context, topology.GroupID, confirm.Proof) bool {
	c.maintained.Add(1)
	time.Sleep(c.slow)
	return false
}

// lostVoters has voters that have ended, so that none remembers what was confirmed.
type lostVoters struct {
	countingCommits
	closedAt time.Time
}

func (c *lostVoters) Seal(context.Context, topology.GroupID, uint64) confirm.Sealing {
	if c.closedAt.IsZero() {
		c.closedAt = steady.Now()
	}
	return confirm.Sealing{Closed: true, ClosedAt: c.closedAt}
}

func TestUnknownFloorLetsCandidatePassThatLacksWhatVotersRecorded(t *testing.T) {
	candidate := Member{ID: "b", Reach: Answered}
	candidate.Status.Received = pos(4, 113)
	step := NextStep(View{
		AckReplicas: 1, Leader: "a", Replace: true, Members: []Member{candidate}, Confirmed: true, MaySeal: true,
		Sealing: confirm.Sealing{Closed: true, Floor: pos(4, 120)},
	})
	_, promotes := step.(Promote)
	qt.Check(t, promotes, qt.IsFalse, qt.Commentf("%#v", step))
}

func TestVotersStaySealedWhileLeavingLeaderServesAndNoReplicaAnswers(t *testing.T) {
	g := newTestGroup("a", "b")
	commits := &countingCommits{}
	g.registerMembers(map[topology.TargetID]catalog.Member{
		"a": {Target: topology.Target{ID: "a", Group: "g", Addr: "a", Leaving: true}, Incarnation: 1},
		"b": {Target: topology.Target{ID: "b", Group: "g", Addr: "b"}, Incarnation: 1},
	})
	g.with(func(targets map[topology.TargetID]*testTarget) { targets["b"].down = true })
	g.watch(t, permanentDuty{}, func(o *Options) { o.Commits = commits })
	time.Sleep(3 * time.Second)
	qt.Check(t, commits.maintained.Load() > 0, qt.IsTrue)
}

// A leader whose replacement was accepted and showed no effect may still be replaced.
func TestCommitsAreNotOpenedWhileAcceptedRequestMayHaveItsEffect(t *testing.T) {
	w := NewWatcher(Options{Group: "g", Duty: permanentDuty{}, Catalog: newTestGroup("a").store, Commits: &countingCommits{}})
	w.leader = "a"
	proof := w.commitProof(steady.Now(), 1)
	qt.Check(t, proof.Settled && proof.NotOrdered, qt.IsTrue)
	w.commits.ordered, w.commits.settledAt = true, steady.Now().Add(unresolvedWindow)
	proof = w.commitProof(steady.Now().Add(maxEffectDelay), 1)
	qt.Check(t, proof.Settled || proof.NotOrdered, qt.IsFalse)
}

// The cached term of a target is that of an earlier leadership once another one has led.
func TestTermOfLeaderIsForgottenWithTheLeader(t *testing.T) {
	s := commitState{leader: "a", leaderTerm: 3}
	s.noteEffect()
	qt.Check(t, s.leader, qt.Equals, topology.TargetID(""))
}

func TestRequestThatMayBeCarriedOutCountsAsOrdered(t *testing.T) {
	for _, c := range []struct {
		outcome         Outcome
		before, ordered bool
	}{
		{Accepted, false, true}, {Unanswered, false, true}, {Refused, false, false}, {NotDone, false, false},
		{Refused, true, true}, {NotDone, true, true}, // an earlier one may
	} {
		var s commitState
		s.noteOutcome(c.outcome, c.before)
		qt.Check(t, s.ordered, qt.Equals, c.ordered, qt.Commentf("%+v", c))
	}
}
