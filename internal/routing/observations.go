package routing

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	failureCooldown = 250 * time.Millisecond // a target that failed gets no reads for this long
	lagBoundTTL     = 500 * time.Millisecond // a replica's lag is measured again after this
)

// Observations holds what this host learned about one group from responses. The
// term never decreases. Observations is not safe for concurrent use.
type Observations struct {
	Term    uint64
	Primary topology.TargetID
	Targets map[topology.TargetID]TargetObservation
	history positionTimeline
}

// TargetObservation holds the latest information about one target.
type TargetObservation struct {
	StatusKnown   bool // a status of the target was received
	Applied       topology.Position
	LagUpperBound time.Duration // upper bound on the data's age in the latest status
	CheckedAt     time.Time     // when Applied was first observed, or last rejected as behind a floor or too stale
	LagLowerBound time.Duration // lower bound on the replica lag at RefusedAt
	RefusedAt     time.Time     // when the target was last found behind a floor
	FailedAt      time.Time     // when a request last failed because of the target's health; zero if the target answered since
}

// NewObservations returns the observations of a group about which nothing is
// known yet.
func NewObservations() *Observations {
	return &Observations{Targets: make(map[topology.TargetID]TargetObservation)}
}

// ObservePrimary records the primary of a term. It ignores older terms and a
// different primary of the same term.
func (o *Observations) ObservePrimary(term uint64, primary topology.TargetID) {
	if term > o.Term || (term == o.Term && o.Primary == "") {
		o.Term = term
		o.Primary = primary
	}
}

// ObserveHint records the hint that came with a response.
func (o *Observations) ObserveHint(hint pool.Hint, now time.Time) {
	if hint.Primary != "" {
		o.ObservePrimary(hint.Term, hint.Primary)
	}
	status := hint.Status
	if status.Target == "" {
		return
	}
	if status.Role == target.Primary {
		o.ObservePrimary(status.Term, status.Target)
	}
	observed := o.Targets[status.Target]
	if !observed.StatusKnown || observed.Applied != status.Applied { // holders repeat a cached status for some time
		observed.CheckedAt = now
	}
	observed.StatusKnown = true
	observed.Applied = status.Applied
	observed.LagUpperBound = hint.Age
	observed.FailedAt = time.Time{}
	o.Targets[status.Target] = observed
}

// ObservePosition records a position that exists by now.
func (o *Observations) ObservePosition(pos topology.Position, now time.Time) { o.history.add(pos, now) }

// FloorAge returns a lower bound on the age of the position, and false if the
// age is unknown.
func (o *Observations) FloorAge(floor topology.Position, now time.Time) (time.Duration, bool) {
	at, ok := o.history.existedBy(floor)
	return now.Sub(at), ok
}

// ObserveFailure records a failed request to the target.
func (o *Observations) ObserveFailure(id topology.TargetID, code result.Code, now time.Time) {
	observed := o.Targets[id]
	switch code {
	case result.TargetDown, result.UnknownOutcome:
		observed.FailedAt = now
	case result.BehindFloor: // the holder has just queried the target
		observed.CheckedAt = now
		observed.RefusedAt = now
		observed.LagLowerBound = o.history.lagLowerBound(observed.Applied, now)
	case result.TooStale:
		observed.CheckedAt = now
	}
	o.Targets[id] = observed
}

// lagLowerBound returns a lower bound on the replica lag, or 0 if the last
// measurement is older than lagBoundTTL.
func (o TargetObservation) lagLowerBound(now time.Time) time.Duration {
	if now.Sub(o.RefusedAt) > lagBoundTTL {
		return 0
	}
	return o.LagLowerBound
}

// recentlyFailed reports whether the target failed within the last
// failureCooldown.
func (o TargetObservation) recentlyFailed(now time.Time) bool {
	return !o.FailedAt.IsZero() && now.Sub(o.FailedAt) < failureCooldown
}
