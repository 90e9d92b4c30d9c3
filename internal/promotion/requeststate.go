package promotion

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// requestState tracks the promotion requests that may still be carried out: those
// of this host and those of the previous holder. It reads no clock; the caller
// passes the time.
type requestState struct {
	token          uint64            // token under which this host holds the duty, 0 if it doesn't
	resumeAfter    time.Time         // no pause may be ended before this time
	lastTarget     topology.TargetID // target of the last request
	inDoubt        bool              // the last request got no answer and may still be carried out
	inDoubtAt      time.Time         // when the latest request without an answer was sent
	lastUnanswered topology.TargetID // its target

	renewedToken uint64    // token that this host got for itself while it held the duty
	acquiredAt   time.Time // when this host acquired the duty
	verified     bool      // the leader has been compared with the other targets since then
	// predecessorLeases is the time until which leases of an earlier holder may be
	// valid, and predecessorRequests tells whether there was one, whose requests may
	// still be carried out.
	predecessorLeases   time.Time
	predecessorRequests bool
}

const (
	// firstToken is the token of a duty that was never held before.
	firstToken = 1
	// MinEffectDelay is how long an accepted request takes at least to have its
	// effect: platforms document some hundred ms.
	MinEffectDelay = 100 * time.Millisecond
	// maxEffectDelay is how long an accepted request may take to have its
	// effect: more than three times the longest promotion in the users'
	// deployments (600 ms).
	maxEffectDelay = 2 * time.Second
)

// noteToken records the token under which this host holds the duty. After a change
// of the token, a request of a previous holder may still be carried out, so the
// pauses that it relies on must stay, and its leases may be out. The token also
// changes if this host lost the duty and acquired it again since the last call.
func (r *requestState) noteToken(token uint64, now time.Time) {
	if token == r.token {
		return
	}
	if token > firstToken {
		r.resumeAfter = now.Add(unresolvedWindow)
	}
	if r.token != 0 && token == r.renewedToken {
		r.token = token
		return
	}
	r.token, r.verified = token, false
	r.predecessorLeases = now.Add(lease.MaxLifetime)
	r.predecessorRequests = token > firstToken
	r.acquiredAt = now
}

// clearToken records that this host doesn't hold the duty.
func (r *requestState) clearToken() { r.token = 0 }

// mayResume reports whether pauses that no attempt needs may be ended.
func (r *requestState) mayResume(now time.Time) bool { return now.After(r.resumeAfter) }

// needsToken reports whether a request for the target needs a higher token first.
// An unanswered request for another target may still arrive, and the platform
// refuses it only after it has seen a higher token.
func (r *requestState) needsToken(id topology.TargetID) bool { return r.inDoubt && id != r.lastTarget }

// noteRenewal records that this host has renewed its token.
func (r *requestState) noteRenewal(token uint64) { r.inDoubt, r.renewedToken = false, token }

// mayBePending reports whether a request without an answer may still be carried out
// for a target other than id, on a platform that doesn't check tokens. Until then no
// other target may be ordered, and no lease granted.
func (r *requestState) mayBePending(id topology.TargetID, now time.Time) bool {
	return !r.inDoubtAt.IsZero() && r.lastUnanswered != id && now.Sub(r.inDoubtAt) < unresolvedWindow
}

// predecessorPending reports whether a request of an earlier holder may still be
// carried out.
func (r *requestState) predecessorPending(now time.Time) bool {
	return r.predecessorRequests && now.Sub(r.acquiredAt) < unresolvedWindow
}

// noteRequest records the target of a request that is about to be sent.
func (r *requestState) noteRequest(target topology.TargetID) { r.lastTarget = target }

// noteOutcome records the outcome of the last request.
func (r *requestState) noteOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case Accepted:
		r.resumeAfter = laterTime(r.resumeAfter, now.Add(maxEffectDelay))
	case Unanswered:
		r.inDoubt, r.inDoubtAt, r.lastUnanswered = true, now, r.lastTarget
		r.resumeAfter = now.Add(unresolvedWindow)
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// authority tells whether a host may act as the holder of a duty.
type authority struct {
	settled      bool      // hosts in most failure domains have answered for a while, so this host knows if another one acquired the duty
	pendingUntil time.Time // a request of the previous holder may take effect until then
	leasesUntil  time.Time // leases on the leader to be replaced may be valid until then
	// pendingRequest is set if a request without an answer may still be carried out
	// for another target than the one to be promoted.
	pendingRequest bool
}

// authorize returns the step if the host may perform it now, otherwise a Wait with
// the reason.
func authorize(step Step, auth authority, now time.Time) Step {
	_, isPromotion := step.(Promote)
	switch {
	case !auth.settled:
		return Wait{Reason: "this host has no lasting contact with most failure domains"}
	case isPromotion && now.Before(auth.pendingUntil):
		return Wait{Reason: "a promotion request of the previous holder may still take effect"}
	case isPromotion && auth.pendingRequest:
		return Wait{Reason: "a request without an answer may still promote another target"}
	case isPromotion && now.Before(auth.leasesUntil.Add(-MinEffectDelay)):
		return Wait{Reason: "a host that has not answered may still have a lease on the leader"}
	}
	return step
}
