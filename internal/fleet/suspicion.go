package fleet

import "time"

const (
	suspectAfter     = 2 * time.Second  // calls may fail for a shorter time while a network switch restarts
	minFailures      = 3                // consecutive failed calls needed for a suspicion without an accusation
	maxFailureGap    = 10 * time.Second // a failure after a longer gap begins a new run of failures
	accusationWindow = 5 * time.Second  // how long another host's accusation counts
	// clearAfter is how long calls must succeed until a suspicion is cleared. Each
	// relapse doubles it. A host that gets its slots back takes over their locks by
	// force after 1 s (takeoverAfter in package pool).
	clearAfter    = 500 * time.Millisecond
	maxRelapses   = 2               // limit on the doublings of clearAfter
	relapseWindow = 5 * time.Minute // a suspicion later than this after the previous one isn't a relapse
)

// suspicion is the failure detector's state for one host.
//
// A host becomes suspected when calls to it have failed for suspectAfter without a
// success, or when one call fails within accusationWindow of another host's
// accusation. The suspicion is cleared when calls have succeeded for clearAfter
// without a failure; each relapse doubles that time.
type suspicion struct {
	Suspected       bool
	FailingSince    time.Time // first failure of the current run, zero if there is none
	LastFailure     time.Time
	Failures        int       // in the current run
	AccusedAt       time.Time // latest accusation by another host, zero if none or after a success
	SucceedingSince time.Time // first success since the last failure
	SuspectedAt     time.Time // start of the latest suspicion
	Relapses        int       // number of doublings of clearAfter
}

// afterFailure returns the suspicion after a failed call.
func (s suspicion) afterFailure(now time.Time) suspicion {
	if s.FailingSince.IsZero() || now.Sub(s.LastFailure) > maxFailureGap {
		s.FailingSince = now
		s.Failures = 0
	}
	s.Failures++
	s.LastFailure = now
	s.SucceedingSince = time.Time{}
	if s.Suspected {
		return s
	}
	longRun := s.Failures >= minFailures && now.Sub(s.FailingSince) >= suspectAfter
	if longRun || s.recentlyAccused(now) {
		return s.asSuspected(now)
	}
	return s
}

func (s suspicion) recentlyAccused(now time.Time) bool {
	return !s.AccusedAt.IsZero() && now.Sub(s.AccusedAt) <= accusationWindow
}

// asSuspected returns the suspicion of a host that becomes suspected now.
func (s suspicion) asSuspected(now time.Time) suspicion {
	relapse := !s.SuspectedAt.IsZero() && now.Sub(s.SuspectedAt) <= relapseWindow
	switch {
	case !relapse:
		s.Relapses = 0
	case s.Relapses < maxRelapses:
		s.Relapses++
	}
	s.Suspected = true
	s.SuspectedAt = now
	return s
}

// afterSuccess returns the suspicion after a successful call.
func (s suspicion) afterSuccess(now time.Time) suspicion {
	s.FailingSince = time.Time{}
	s.Failures = 0
	s.AccusedAt = time.Time{}
	if !s.Suspected {
		return s
	}
	if s.SucceedingSince.IsZero() {
		s.SucceedingSince = now
	}
	if now.Sub(s.SucceedingSince) >= clearAfter<<s.Relapses {
		s.Suspected = false
	}
	return s
}

// afterAccusation returns the suspicion after an accusation by another host.
func (s suspicion) afterAccusation(now time.Time) suspicion {
	s.AccusedAt = now
	return s
}
