package pool

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// readState is what is known about a target when a read is checked.
type readState struct {
	statusKnown       bool
	status            target.Status
	age               time.Duration // upper bound on the age of the target's data
	ageKnown          bool
	canConfirmCommits bool // the group can confirm commits, so data read at the primary is current
}

// staleness returns an upper bound on the age of the data that a read would
// see.
func (s readState) staleness() (time.Duration, bool) {
	if s.statusKnown && s.status.Role == target.Primary && s.canConfirmCommits {
		return 0, true
	}
	return s.age, s.ageKnown
}

// checkRead returns nil if the target may serve a read: it must have applied
// the floor and, unless stale data is allowed, be fresh enough.
func checkRead(s readState, floor topology.Position, maxStaleness time.Duration, serveStale bool) *result.Error {
	if !floor.IsZero() && !(s.statusKnown && s.status.Applied.AtLeast(floor)) {
		return result.New(result.BehindFloor, "target has applied %s, the session requires %s", s.status.Applied, floor)
	}
	if maxStaleness == 0 || serveStale {
		return nil
	}
	age, known := s.staleness()
	if !known {
		return result.New(result.TooStale, "the age of the target's data is unknown, at most %s is allowed", maxStaleness)
	}
	if age > maxStaleness {
		return result.New(result.TooStale, "the target's data may be %s old, at most %s is allowed", age, maxStaleness)
	}
	return nil
}
