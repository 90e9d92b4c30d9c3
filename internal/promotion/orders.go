package promotion

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// orders is what a holder knows of promotions that may still be carried out: its
// own, and those of the holder before it. It is a plain value without clock.
type orders struct {
	token    uint64            // under which this host holds the duty, 0: it doesn't
	resumeAt time.Time         // no pause may be ended before
	last     topology.TargetID // that was ordered last
	tainted  bool              // that order got no answer and may still be carried out
}

const (
	// firstToken is that of a duty which nobody held before.
	firstToken = 1
	// effectPending is how long an accepted order may take to have its effect,
	// three times the longest promotion of the users' deployments (600 ms).
	effectPending = 2 * time.Second
)

// hold notes the token under which this host holds the duty. With a new one, an
// order of a holder before may still be carried out, and the pauses that it rests
// on must stay. The duty may have been lost and taken again since the last call.
func (o *orders) hold(token uint64, now time.Time) {
	if token != o.token && token > firstToken {
		o.resumeAt = now.Add(doubtFor)
	}
	o.token = token
}

// drop notes that this host doesn't hold the duty.
func (o *orders) drop() { o.token = 0 }

// mayResume tells whether pauses that no attempt needs may be ended.
func (o *orders) mayResume(now time.Time) bool { return now.After(o.resumeAt) }

// needsToken tells whether an order for a target needs a higher token first: an
// earlier one for another target may still come, and is refused only then.
func (o *orders) needsToken(target topology.TargetID) bool { return o.tainted && target != o.last }

// renewed notes that this host has got a higher token.
func (o *orders) renewed() { o.tainted = false }

// give notes an order.
func (o *orders) give(target topology.TargetID) { o.last = target }

// answered notes what became of the order.
func (o *orders) answered(outcome Outcome, now time.Time) {
	switch outcome {
	case Accepted:
		o.resumeAt = laterOf(o.resumeAt, now.Add(effectPending))
	case Unanswered:
		o.tainted = true
		o.resumeAt = now.Add(doubtFor)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// standing is a host's right to act as the holder of a duty.
type standing struct {
	connected    bool      // with hosts of most failure domains, so that no other has taken it
	pendingUntil time.Time // an order of the holder before may have its effect until then
}

// permitted returns the step, or why it must wait.
func permitted(step Step, s standing, now time.Time) Step {
	_, promotes := step.(Promote)
	switch {
	case !s.connected:
		return Hold{Reason: "this host is cut off from most failure domains"}
	case promotes && now.Before(s.pendingUntil):
		return Hold{Reason: "an earlier holder's order may be under way"}
	}
	return step
}
