package promotion

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// requestState tracks the promotion requests that may still be carried out: those
// of this host and those of the previous holder. It reads no clock; the caller
// passes the time.
type requestState struct {
	token       uint64            // token under which this host holds the duty, 0 if it doesn't
	resumeAfter time.Time         // no pause may be ended before this time
	lastTarget  topology.TargetID // target of the last request
	inDoubt     bool              // the last request got no answer and may still be carried out
}

const (
	// firstToken is the token of a duty that was never held before.
	firstToken = 1
	// maxEffectDelay is how long an accepted request may take to have its
	// effect: more than three times the longest promotion in the users'
	// deployments (600 ms).
	maxEffectDelay = 2 * time.Second
)

// noteToken records the token under which this host holds the duty. After a change
// of the token, a request of a previous holder may still be carried out, so the
// pauses that it relies on must stay. The token also changes if this host lost the
// duty and acquired it again since the last call.
func (r *requestState) noteToken(token uint64, now time.Time) {
	if token != r.token && token > firstToken {
		r.resumeAfter = now.Add(unresolvedWindow)
	}
	r.token = token
}

// clearToken records that this host doesn't hold the duty.
func (r *requestState) clearToken() { r.token = 0 }

// mayResume reports whether pauses that no attempt needs may be ended.
func (r *requestState) mayResume(now time.Time) bool { return now.After(r.resumeAfter) }

// needsToken reports whether a request for the target needs a higher token first.
// An unanswered request for another target may still arrive, and the platform
// refuses it only after it has seen a higher token.
func (r *requestState) needsToken(id topology.TargetID) bool { return r.inDoubt && id != r.lastTarget }

// noteRenewal records that this host has a higher token.
func (r *requestState) noteRenewal() { r.inDoubt = false }

// noteRequest records the target of a request that is about to be sent.
func (r *requestState) noteRequest(target topology.TargetID) { r.lastTarget = target }

// noteOutcome records the outcome of the last request.
func (r *requestState) noteOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case Accepted:
		r.resumeAfter = laterTime(r.resumeAfter, now.Add(maxEffectDelay))
	case Unanswered:
		r.inDoubt = true
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
	}
	return step
}
