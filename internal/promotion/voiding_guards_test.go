package promotion

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// recordingPromoter answers every request with the outcome, Accepted if it is zero.
type recordingPromoter struct {
	outcome  Outcome
	requests []Request
}

func (p *recordingPromoter) Promote(_ context.Context, r Request) Reply {
	p.requests = append(p.requests, r)
	return Reply{Outcome: max(p.outcome, Accepted)}
}

// proofRecorder is the Commits of a group that notes the proofs.
type proofRecorder struct {
	forgetfulVoters
	proofs []confirm.Proof
}

func (r *proofRecorder) Dropped(topology.GroupID) []topology.TargetID { return nil }

func (r *proofRecorder) Maintain(_ context.Context, _ topology.GroupID, p confirm.Proof) bool {
	r.proofs = append(r.proofs, p)
	return false
}

// newVoidingWatcher returns a watcher that has just proved that "a" leads.
func newVoidingWatcher(d Duty) (*Watcher, *recordingPromoter) {
	p := &recordingPromoter{}
	store := catalog.NewStore()
	store.OfferConfiguration(&catalog.Configuration{Version: 1, Groups: map[topology.GroupID]catalog.Group{"g": {ID: "g", AckReplicas: 1}}})
	w := NewWatcher(Options{Group: "g", Duty: d, Promoter: p, Commits: &forgetfulVoters{}, Catalog: store, Log: logr.Discard()})
	w.leader, w.leaderProvedAt, w.lastTickAt = "a", steady.Now(), steady.Now()
	w.commits.leader, w.commits.leaderTerm = "a", 3
	return w, p
}

// Renewing the token alone doesn't make an own request void, and it may be for another target.
func TestOwnUnansweredRequestIsVoidedUnderHigherToken(t *testing.T) {
	w, p := newVoidingWatcher(&laterDuty{token: 7})
	w.requests.inDoubt, w.requests.lastTarget = true, "b"
	w.voidEarlierRequests(t.Context())
	qt.Assert(t, p.requests, qt.HasLen, 1)
	qt.Check(t, p.requests[0].Target, qt.Equals, topology.TargetID("a"))
	qt.Check(t, p.requests[0].Token, qt.Equals, uint64(8))
	w.voidEarlierRequests(t.Context())
	qt.Check(t, p.requests, qt.HasLen, 1) // its effect is waited for
}

func TestNothingIsVoidedWhileOwnRequestMayHaveItsEffect(t *testing.T) {
	w, p := newVoidingWatcher(&laterDuty{token: 7})
	w.commits.ordered = true
	w.voidEarlierRequests(t.Context())
	w.requests.inDoubt, w.requests.lastTarget = true, "b"
	w.voidEarlierRequests(t.Context())
	w.requests.inDoubt, w.requests.lastTarget = false, "a" // accepted
	w.voidEarlierRequests(t.Context())
	qt.Check(t, p.requests, qt.HasLen, 0)
}

func TestUnansweredRequestForTheLeaderMayPromoteItAgain(t *testing.T) {
	w, p := newVoidingWatcher(&laterDuty{token: 7})
	p.outcome = Unanswered
	w.promote(t.Context(), "a")
	p.outcome = Accepted
	w.voidEarlierRequests(t.Context())
	qt.Assert(t, p.requests, qt.HasLen, 2)
	qt.Check(t, w.voiding.mayPromoteOther("b", steady.Now()), qt.IsTrue)
}

// Guards against 15 s without writes after an unanswered request for a target that led already:
// the register told late that it had taken the place of the known leader, with its log.
func TestUnansweredRequestForTheLeaderIsSettledByAnotherOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		w, p := newVoidingWatcher(&laterDuty{token: 7})
		r := &proofRecorder{}
		w.opts.Commits = r
		w.commits.sealedTerm = 3 // of the leader
		p.outcome = Unanswered
		w.promote(t.Context(), "a")
		w.maintainCommits(t.Context()) // doesn't settle anything
		p.outcome, w.voiding.retryAt = Accepted, time.Time{}
		w.maintainCommits(t.Context())
		qt.Assert(t, p.requests, qt.HasLen, 3)
		time.Sleep(maxEffectDelay + time.Millisecond)
		w.leaderProvedAt, w.commits.leader, w.commits.leaderTerm = steady.Now(), "a", 3
		w.maintainCommits(t.Context())
		last := r.proofs[len(r.proofs)-1]
		qt.Check(t, last.NotOrdered && last.Settled, qt.IsTrue)
		for _, earlier := range r.proofs[:len(r.proofs)-1] {
			qt.Check(t, earlier.NotOrdered || earlier.Settled, qt.IsFalse)
		}
		qt.Check(t, w.voiding.mayPromoteOther("b", steady.Now()), qt.IsTrue) // it may still be carried out
	})
}

// lostDuty is a duty that another host has taken.
type lostDuty struct{ laterDuty }

func (*lostDuty) Token(topology.GroupID) (uint64, bool) { return 8, false }

// A host that was suspended, or has lost the duty, may take a replaced leader for the present one.
func TestSuspendedHostAndFormerHolderVoidNothing(t *testing.T) {
	w, p := newVoidingWatcher(&laterDuty{token: 7})
	w.lastTickAt = steady.Now().Add(-suspendedAfter - time.Second)
	w.voidEarlierRequests(t.Context())
	qt.Check(t, p.requests, qt.HasLen, 0)
	w, p = newVoidingWatcher(&lostDuty{})
	w.voidEarlierRequests(t.Context())
	qt.Check(t, p.requests, qt.HasLen, 0)
}

// If the leader had just been replaced, it leads a later term after the request. Commits of the
// earlier one may be lost.
func TestTermOfLeaderIsAskedAgainAfterVoiding(t *testing.T) {
	w, _ := newVoidingWatcher(&laterDuty{token: 7})
	w.voidEarlierRequests(t.Context())
	qt.Check(t, w.commits.leaderTerm, qt.Equals, uint64(0))
}

func TestUnansweredVoidingRequestIsKeptUntilHigherTokenIsAccepted(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel() // effects aren't waited for
	for _, accept := range []func(w *Watcher){
		func(w *Watcher) { w.voidEarlierRequests(t.Context()) },
		func(w *Watcher) { w.promote(ended, "c") },
	} {
		w, p := newVoidingWatcher(&laterDuty{token: 7})
		p.outcome = Unanswered
		w.voidEarlierRequests(t.Context())
		qt.Check(t, w.voiding.mayPromoteOther("b", steady.Now()), qt.IsTrue)
		w.leader, p.outcome, w.voiding.retryAt = "b", Accepted, time.Time{}
		accept(w)
		qt.Check(t, p.requests, qt.HasLen, 2)
		qt.Check(t, p.requests[1].Token, qt.Equals, uint64(8))
		qt.Check(t, w.voiding.mayPromoteOther("b", steady.Now()), qt.IsFalse)
	}
}

func TestCommitsAreNotOpenedWhileVoidingRequestMayPromoteItsTarget(t *testing.T) {
	w, _ := newVoidingWatcher(&laterDuty{token: 7})
	qt.Check(t, w.commitProof(w.leaderProvedAt, 3).Settled, qt.IsTrue)
	w.voiding.noteUnanswered("b", 6, steady.Now())
	proof := w.commitProof(w.leaderProvedAt, 3)
	qt.Check(t, proof.Settled || proof.NotOrdered, qt.IsFalse)
}

// pendingDuty is a duty whose previous holder may have sent a request right before its end.
type pendingDuty struct {
	laterDuty
	until time.Time
}

func (d *pendingDuty) PendingUntil(topology.GroupID) time.Time { return d.until }

func TestCommitsAreNotOpenedWhileRequestOfPreviousHolderMayHaveItsEffect(t *testing.T) {
	w, _ := newVoidingWatcher(&pendingDuty{until: steady.Now().Add(time.Second)})
	proof := w.commitProof(w.leaderProvedAt, 3)
	qt.Check(t, proof.Settled || proof.NotOrdered, qt.IsFalse)
	qt.Check(t, w.commitProof(w.leaderProvedAt.Add(2*time.Second), 3).Settled, qt.IsTrue)
}

// A leader that was proved before the last effect may have been replaced by it.
func TestProofCountsFromItsRequest(t *testing.T) {
	w, _ := newVoidingWatcher(&laterDuty{token: 7})
	r := &proofRecorder{}
	w.opts.Commits = r
	w.requests.resumeAfter = steady.Now().Add(-time.Millisecond)
	w.leaderProvedAt = w.requests.resumeAfter.Add(-time.Millisecond)
	w.maintainCommits(t.Context())
	qt.Assert(t, r.proofs, qt.HasLen, 1)
	qt.Check(t, r.proofs[0].Settled, qt.IsFalse)
}

// What another holder recorded where tokens weren't checked, or a host of an earlier version,
// binds nobody: it is made void.
func TestRecordedRequestIsIgnoredWhereTokensAreChecked(t *testing.T) {
	w, _ := newVoidingWatcher(&orderedDuty{})
	qt.Check(t, w.recordedOrder(), qt.Equals, topology.TargetID(""))
	w.opts.Leases = newUnfencedGroup()
	qt.Check(t, w.recordedOrder(), qt.Equals, topology.TargetID("b"))
}

type orderedDuty struct{ laterDuty }

func (*orderedDuty) Leadership(topology.GroupID) duty.Leadership {
	return duty.Leadership{Leader: "a", Ordered: "b"}
}

// A request carried out before an accepted one may have its effect after that.
func TestOwnEffectSettlesNoEarlierRequestAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	r := requestState{checksTokens: true}
	r.noteToken(7, "", now)
	r.noteRequest("b")
	r.noteOutcome(Accepted, now)
	r.noteEffect()
	qt.Check(t, r.mayResume(now.Add(maxEffectDelay)), qt.IsFalse)
	qt.Check(t, r.mayResume(now.Add(maxEffectDelay+1)), qt.IsTrue)
}

func TestAcceptedRequestSettlesNothingWhereNoTokensAreChecked(t *testing.T) {
	now := time.Unix(1000, 0)
	var r requestState
	r.noteToken(7, "", now)
	r.noteRequest("b")
	r.noteOutcome(Accepted, now)
	qt.Check(t, r.mayResume(now.Add(unresolvedWindow)), qt.IsFalse)
}

func TestNextTenureStartsWithoutVoidDelay(t *testing.T) {
	w, _ := newVoidingWatcher(&laterDuty{token: 7})
	w.voiding.failures, w.voiding.retryAt = 3, steady.Now().Add(time.Minute)
	w.close()
	qt.Check(t, w.voiding.failures, qt.Equals, 0)
	qt.Check(t, w.voiding.retryAt.IsZero(), qt.IsTrue)
}
