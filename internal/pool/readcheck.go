package pool

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// readState is what is known of a target when a read asks for it.
type readState struct {
	known        bool // a status is known
	status       target.Status
	age          time.Duration // upper bound on the age of its data
	ageKnown     bool
	primaryFresh bool // it is the primary and its term is confirmed
}

// staleness returns the upper bound on the age of what a read sees.
func (s readState) staleness() (time.Duration, bool) {
	if s.known && s.status.Role == target.Primary && s.primaryFresh {
		return 0, true
	}
	return s.age, s.ageKnown
}

// checkRead tells whether the target may serve a read: it must have applied the
// floor, and be fresh enough unless stale data is welcome. nil allows it.
func checkRead(s readState, floor topology.Position, maxStaleness time.Duration, serveStale bool) *result.Error {
	if !floor.IsZero() && !(s.known && s.status.Applied.AtLeast(floor)) {
		return result.New(result.BehindFloor, "applied %s, the session needs %s", s.status.Applied, floor)
	}
	if maxStaleness == 0 || serveStale {
		return nil
	}
	age, known := s.staleness()
	if !known {
		return result.New(result.TooStale, "the age of the target's data isn't known, at most %s is allowed", maxStaleness)
	}
	if age > maxStaleness {
		return result.New(result.TooStale, "the target's data may be %s old, at most %s is allowed", age, maxStaleness)
	}
	return nil
}
