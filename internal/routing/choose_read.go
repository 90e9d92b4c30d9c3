package routing

import (
	"cmp"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
)

// suitability ranks how well a replica suits a read, best first.
type suitability int

const (
	suitable      suitability = iota // the known status satisfies the read
	maybeSuitable                    // the known status is outdated, so the holder must check
	behindFloor                      // certainly hasn't applied the floor
	tooStale                         // certainly older than the read allows
	unhealthy                        // failed recently, or no holder can be reached
	leaving                          // accepts no new work
)

type rankedReplica struct {
	Candidate
	suitability suitability
}

func chooseRead(criteria Criteria, view GroupView) Decision {
	replicas := rankReplicas(criteria, view)
	var decision Decision
	for _, r := range replicas {
		if r.suitability <= maybeSuitable {
			decision.Destinations = append(decision.Destinations, slotDestinations(r.Candidate, criteria, Destination{Class: pool.Read, Replica: true})...)
		}
	}
	if len(decision.Destinations) == 0 {
		decision.Reason = reasonForPrimary(replicas)
	}
	primaryDests, fallbacks := primaryDestinations(criteria, view, primaryClass(criteria)), fallbackReplicas(criteria, replicas)
	if primaryDown(view) {
		primaryDests, fallbacks = fallbacks, primaryDests
	}
	decision.Destinations = append(append(decision.Destinations, primaryDests...), fallbacks...)
	if criteria.ServeStale && !criteria.ReadOnly {
		decision.Destinations = append(decision.Destinations, primaryDestinations(criteria, view, pool.Read)...) // a primary without a majority serves reads, but no writes
	}
	return decision
}

// primaryClass returns the class with which a read is sent to the primary. A
// read that was not declared read-only may write there, so it is sent as a
// write.
func primaryClass(criteria Criteria) pool.Class {
	if criteria.ReadOnly {
		return pool.Read
	}
	return pool.Write
}

func primaryDown(view GroupView) bool {
	for _, c := range view.Candidates {
		if c.Target.ID == view.Primary {
			return c.RecentlyFailed || c.allHoldersUnreachable()
		}
	}
	return true
}

// fallbackReplicas returns the replicas that serve if the primary can't: the
// too stale ones if the read allows them, and those that failed recently.
func fallbackReplicas(criteria Criteria, replicas []rankedReplica) []Destination {
	var destinations []Destination
	for _, r := range replicas {
		if r.suitability == leaving || (r.StatusKnown && floorSuitability(criteria, r.Candidate) == behindFloor) {
			continue
		}
		if criteria.ServeStale || r.suitability == unhealthy {
			destinations = append(destinations, slotDestinations(r.Candidate, criteria, Destination{Class: pool.Read, Replica: true, ServeStale: criteria.ServeStale})...)
		}
	}
	return destinations
}

func rankReplicas(criteria Criteria, view GroupView) []rankedReplica {
	var replicas []rankedReplica
	for _, c := range view.Candidates {
		if c.Target.ID != view.Primary && len(c.Holders) > 0 {
			replicas = append(replicas, rankedReplica{Candidate: c, suitability: suitabilityOf(criteria, c)})
		}
	}
	if len(replicas) == 0 {
		return nil
	}
	shift := int(criteria.Random % uint64(len(replicas)))
	replicas = slices.Concat(replicas[shift:], replicas[:shift])
	slices.SortStableFunc(replicas, func(a, b rankedReplica) int {
		return cmp.Or(
			cmp.Compare(a.suitability, b.suitability),
			cmp.Compare(domainDistance(a.Candidate), domainDistance(b.Candidate)),
			cmp.Compare(minInFlight(a.Holders), minInFlight(b.Holders)),
		)
	})
	return replicas
}

func domainDistance(c Candidate) int {
	if c.Near {
		return 0
	}
	return 1
}

func minInFlight(holders []Holder) int {
	fewest := holders[0].InFlight
	for _, h := range holders {
		fewest = min(fewest, h.InFlight)
	}
	return fewest
}

func suitabilityOf(criteria Criteria, c Candidate) suitability {
	switch {
	case c.Target.Leaving:
		return leaving
	case c.RecentlyFailed || c.allHoldersUnreachable():
		return unhealthy
	case !c.StatusKnown:
		return maybeSuitable
	}
	return max(floorSuitability(criteria, c), stalenessSuitability(criteria.MaxStaleness, c))
}

// floorSuitability returns maybeSuitable, so that the holder asks the replica,
// if the known status is outdated and the floor is older than the replica's
// lag.
func floorSuitability(criteria Criteria, c Candidate) suitability {
	switch {
	case c.Applied.AtLeast(criteria.Floor):
		return suitable
	case c.StatusAge < floorRecheckDelay || criteria.FloorAge < c.LagLowerBound:
		return behindFloor
	}
	return maybeSuitable
}

func stalenessSuitability(maxStaleness time.Duration, c Candidate) suitability {
	if maxStaleness == 0 || c.LagUpperBound+c.StatusAge <= maxStaleness {
		return suitable
	}
	if c.LagUpperBound <= maxStaleness || c.StatusAge >= stalenessRecheckDelay {
		return maybeSuitable
	}
	return tooStale
}

// reasonForPrimary returns why no replica is tried before the primary: what the
// most suitable replica lacks.
func reasonForPrimary(replicas []rankedReplica) Reason {
	if len(replicas) == 0 {
		return NoReplica
	}
	switch replicas[0].suitability {
	case behindFloor:
		return BehindFloor
	case tooStale:
		return TooStale
	default:
		return Unhealthy
	}
}
