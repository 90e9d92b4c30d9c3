package promotion

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// requestState tracks the promotion requests that may still be carried out: those
// of this host and those of the previous holder. It reads no clock; the caller
// passes the time.
type requestState struct {
	checksTokens bool              // the platform refuses requests with a lower token than it has seen
	token        uint64            // token under which this host holds the duty, 0 if it doesn't
	resumeAfter  time.Time         // no pause may be ended before this time
	lastTarget   topology.TargetID // target of the last request
	// inDoubt is set if the last request got no answer and the platform hasn't seen a
	// higher token since, by which it would refuse that request where it checks tokens.
	inDoubt bool

	// pending is a target whose promotion was requested, by this host or an earlier
	// holder, and may still take effect until unresolvedWindow after pendingAt.
	pending   topology.TargetID
	pendingAt time.Time
	// unanswered is set if a request for pending got no answer or showed no effect, and
	// stays so until unresolvedWindow has passed: a higher token doesn't settle it where
	// the platform checks none.
	unanswered bool

	renewedToken uint64 // token that this host got for itself while it held the duty
	// verified is the leader that has been compared with the other targets, or promoted,
	// since this host acquired the duty; "": none.
	verified topology.TargetID
	// predecessorLeases is the time until which leases of an earlier holder may be
	// valid.
	predecessorLeases time.Time
}

const (
	// MinEffectDelay is how long an accepted request takes at least to have its
	// effect: platforms document some hundred ms.
	MinEffectDelay = 100 * time.Millisecond
	// maxEffectDelay is how long an accepted request may take to have its
	// effect: more than three times the longest promotion in the users'
	// deployments (600 ms).
	maxEffectDelay = 2 * time.Second
)

// noteToken records the token under which this host holds the duty, and the target
// that the holder before ordered, if the request may still be carried out. After a
// change of the token, a request of a previous holder may still be carried out, so the
// pauses that it relies on must stay, and its leases may be out. The token also
// changes if this host lost the duty and acquired it again since the last call.
func (r *requestState) noteToken(token uint64, ordered topology.TargetID, now time.Time) {
	if token == r.token {
		return
	}
	if token > confirm.FirstToken {
		r.resumeAfter = now.Add(unresolvedWindow)
	}
	if r.token != 0 && token == r.renewedToken {
		r.token = token
		return
	}
	r.token, r.verified = token, ""
	r.predecessorLeases = time.Time{}
	if token > confirm.FirstToken {
		r.predecessorLeases = now.Add(lease.MaxLifetime)
	}
	if ordered != "" {
		r.pending, r.pendingAt = ordered, now
	}
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

// pendingTarget returns the target whose promotion was requested and may still take
// effect, or "". The platform doesn't refuse such a request where it doesn't check
// tokens, so until then no other target may be promoted.
func (r *requestState) pendingTarget(now time.Time) topology.TargetID {
	if now.Sub(r.pendingAt) >= unresolvedWindow {
		return ""
	}
	return r.pending
}

// noteRequest records the target of a request that is about to be sent.
func (r *requestState) noteRequest(target topology.TargetID) { r.lastTarget = target }

// noteSent records that a request for the target may take effect from now on.
func (r *requestState) noteSent(target topology.TargetID, now time.Time) {
	r.pending, r.pendingAt = target, now
}

// noteSettled records that no request may take effect any more. It returns false if
// one that got no answer still may.
func (r *requestState) noteSettled() bool {
	if r.unanswered {
		return false
	}
	r.pending = ""
	return true
}

// settleByToken records that the platform has accepted a request for another target than
// the pending one. Such a request has a higher token, so the pending one is refused.
func (r *requestState) settleByToken() {
	if r.checksTokens && r.pending != r.lastTarget {
		r.pending, r.unanswered = "", false
	}
}

// noteVoiding records the outcome of a request for the target that leads, by which requests
// of earlier holders become void.
func (r *requestState) noteVoiding(target topology.TargetID, outcome Outcome, now time.Time) {
	switch outcome {
	case Accepted:
		r.noteSeenToken(now)
	case Unanswered:
		r.lastTarget, r.inDoubt = target, true
	}
}

// noteSeenToken records that the platform has accepted a request of this host. Where it checks
// tokens, it refuses requests of earlier holders from then on.
func (r *requestState) noteSeenToken(now time.Time) {
	effective := now.Add(maxEffectDelay)
	if !r.checksTokens {
		effective = laterTime(r.resumeAfter, effective)
	}
	r.resumeAfter = effective
}

// noteEffect records that the target of the last request leads. Where the platform checks
// tokens, an earlier request for this target changes nothing, and another target is requested
// under a higher token.
func (r *requestState) noteEffect() {
	if r.checksTokens {
		r.pending, r.unanswered = "", false
	}
}

// noteOutcome records the outcome of the last request.
func (r *requestState) noteOutcome(outcome Outcome, now time.Time) {
	switch outcome {
	case Accepted:
		r.settleByToken()
		r.noteSeenToken(now)
	case Unanswered:
		r.inDoubt, r.unanswered = true, true
		r.noteSent(r.lastTarget, now)
		r.resumeAfter = now.Add(unresolvedWindow)
	default:
		r.noteSettled()
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
	case isPromotion && now.Before(auth.leasesUntil.Add(-MinEffectDelay)):
		return Wait{Reason: "a host that has not answered may still have a lease on the leader"}
	}
	return step
}
