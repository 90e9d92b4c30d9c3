package capacity

import "time"

// unansweredAfter is how long a holder waits for an allocation before it assumes that its
// coordinator is out of reach: a call that fails, one to the next holder in order, and a
// round of that.
const unansweredAfter = 300 * time.Millisecond

// Allowance is what a holder knows of its allocation of a target. It has no lock and no
// clock.
type Allowance struct {
	startedAt  time.Time
	allocated  int
	at         time.Time // of the allocation; zero: there was none, or it was ended
	waitingAt  time.Time // when something last waited
	askedSince time.Time // when something first waited without an allocation; zero: since then there was one
	wokenAt    time.Time
}

// NewAllowance returns the allowance of a holder that starts.
func NewAllowance(now time.Time) Allowance { return Allowance{startedAt: now} }

// Allocate records an allocation, n = 0 that allocations end.
func (a *Allowance) Allocate(n int, now time.Time) {
	a.askedSince = time.Time{}
	if n <= 0 {
		a.allocated, a.at = 0, time.Time{}
		return
	}
	a.allocated, a.at = n, now
}

// NoteWaiting records that a request waits. It reports whether a coordinator should be
// woken.
func (a *Allowance) NoteWaiting(now time.Time) (wake bool) {
	if now.Sub(a.waitingAt) > MaxAge { // what happened when something last waited doesn't count any more
		a.askedSince = time.Time{}
		if !a.fresh(now) {
			a.at = time.Time{}
		}
	}
	a.waitingAt = now
	if a.fresh(now) && now.Sub(a.at) < 2*Interval+Interval/2 {
		return false
	}
	if a.askedSince.IsZero() {
		a.askedSince = now
	}
	if !a.wokenAt.IsZero() && now.Sub(a.wokenAt) < Interval {
		return false
	}
	a.wokenAt = now
	return true
}

func (a *Allowance) fresh(now time.Time) bool { return !a.at.IsZero() && now.Sub(a.at) <= MaxAge }

// Limit returns how many statements may be in flight.
func (a *Allowance) Limit(slots, holders int, now time.Time) int {
	asked := !a.askedSince.IsZero() && now.Sub(a.askedSince) > unansweredAfter
	switch {
	case a.fresh(now):
		return max(a.allocated, 1)
	case (asked || !a.at.IsZero()) && now.Sub(a.waitingAt) <= MaxAge:
		return EqualAllocation(slots, holders)
	case now.Sub(a.startedAt) <= MaxAge:
		return 1
	}
	return Uncontended(slots, holders)
}

// Allocated returns the last allocation and its age, or false if there is none.
func (a *Allowance) Allocated(now time.Time) (n int, age time.Duration, ok bool) {
	return a.allocated, now.Sub(a.at), !a.at.IsZero()
}
