package fleet

import "time"

const (
	suspectAfter  = 2 * time.Second        // a shorter run of failed calls may be a restart of a switch
	minFailures   = 3                      // failed calls in the run
	runGap        = 10 * time.Second       // a failure after a longer silence begins a new run
	accusedWindow = 5 * time.Second        // another host's accusation counts as a witness for this long
	clearAfter    = 500 * time.Millisecond // calls must succeed for this long, doubled per relapse; a host that is back takes its slots' locks by force after 1 s
	maxRelapses   = 2                      // doublings of clearAfter
	relapseWindow = 5 * time.Minute        // a suspicion after a longer time isn't a relapse
)

// suspicion is what failed and successful calls say of one host.
//
// A host is trusted until calls have failed for suspectAfter without one
// success, or until one call failed and another host accused it too. A
// suspected host is trusted again when calls have succeeded for clearAfter
// without one failure; each relapse doubles that time.
type suspicion struct {
	Suspected   bool
	FailingFrom time.Time // first failure of the run, zero without one
	LastFailure time.Time
	Failures    int // in the run
	Accused     time.Time
	WellFrom    time.Time // first success since the last failure
	Since       time.Time // of the latest suspicion
	Relapses    int
}

func (s suspicion) failed(now time.Time) suspicion {
	if s.FailingFrom.IsZero() || now.Sub(s.LastFailure) > runGap {
		s.FailingFrom = now
		s.Failures = 0
	}
	s.Failures++
	s.LastFailure = now
	s.WellFrom = time.Time{}
	if s.Suspected {
		return s
	}
	long := s.Failures >= minFailures && now.Sub(s.FailingFrom) >= suspectAfter
	if long || s.accusedAt(now) {
		return s.suspect(now)
	}
	return s
}

func (s suspicion) accusedAt(now time.Time) bool {
	return !s.Accused.IsZero() && now.Sub(s.Accused) <= accusedWindow
}

func (s suspicion) suspect(now time.Time) suspicion {
	relapse := !s.Since.IsZero() && now.Sub(s.Since) <= relapseWindow
	switch {
	case !relapse:
		s.Relapses = 0
	case s.Relapses < maxRelapses:
		s.Relapses++
	}
	s.Suspected = true
	s.Since = now
	return s
}

func (s suspicion) succeeded(now time.Time) suspicion {
	s.FailingFrom = time.Time{}
	s.Failures = 0
	s.Accused = time.Time{}
	if !s.Suspected {
		return s
	}
	if s.WellFrom.IsZero() {
		s.WellFrom = now
	}
	if now.Sub(s.WellFrom) >= clearAfter<<s.Relapses {
		s.Suspected = false
	}
	return s
}

// accused notes that another host suspects this one.
func (s suspicion) accused(now time.Time) suspicion {
	s.Accused = now
	return s
}
