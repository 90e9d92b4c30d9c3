package routing

import (
	"cmp"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
)

// fitness is how a replica suits a read, best first.
type fitness int

const (
	fits       fitness = iota // what is known satisfies the read
	mayFit                    // what is known is old, so its holder decides
	behind                    // has surely not applied the floor
	stale                     // surely older than the read allows
	outOfOrder                // failed lately
	leaving
)

type ranked struct {
	Candidate
	fitness fitness
}

func chooseRead(ask Ask, view GroupView) Decision {
	replicas := rankReplicas(ask, view)
	var d Decision
	for _, r := range replicas {
		if r.fitness <= mayFit {
			d.Tries = append(d.Tries, slotTries(r.Candidate, ask, Try{Class: pool.Read, Replica: true})...)
		}
	}
	if len(d.Tries) == 0 {
		d.Reason = reasonOf(replicas)
	}
	primary, last := primaryTries(ask, view, primaryClass(ask)), lastResorts(ask, replicas)
	if primaryDown(view) {
		primary, last = last, primary
	}
	d.Tries = append(append(d.Tries, primary...), last...)
	if ask.ServeStale && !ask.ReadOnly {
		d.Tries = append(d.Tries, primaryTries(ask, view, pool.Read)...) // a primary without a majority serves reads only
	}
	return d
}

// primaryClass returns how a read is sent to the primary. What wasn't declared
// to write nothing may write there, so it is treated as a write.
func primaryClass(ask Ask) pool.Class {
	if ask.ReadOnly {
		return pool.Read
	}
	return pool.Write
}

func primaryDown(view GroupView) bool {
	for _, c := range view.Candidates {
		if c.Target.ID == view.Primary {
			return c.Down || c.unreachable()
		}
	}
	return true
}

// lastResorts returns the replicas that serve when the primary can't: the
// stale ones if the read allows that, and those that failed lately.
func lastResorts(ask Ask, replicas []ranked) []Try {
	var tries []Try
	for _, r := range replicas {
		if r.fitness == leaving || (r.Known && floorFitness(ask, r.Candidate) == behind) {
			continue
		}
		if ask.ServeStale || r.fitness == outOfOrder {
			tries = append(tries, slotTries(r.Candidate, ask, Try{Class: pool.Read, Replica: true, ServeStale: ask.ServeStale})...)
		}
	}
	return tries
}

func rankReplicas(ask Ask, view GroupView) []ranked {
	var replicas []ranked
	for _, c := range view.Candidates {
		if c.Target.ID != view.Primary && len(c.Holders) > 0 {
			replicas = append(replicas, ranked{Candidate: c, fitness: fitnessOf(ask, c)})
		}
	}
	if len(replicas) == 0 {
		return nil
	}
	shift := int(ask.Draw % uint64(len(replicas)))
	replicas = slices.Concat(replicas[shift:], replicas[:shift])
	slices.SortStableFunc(replicas, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.fitness, b.fitness),
			cmp.Compare(distance(a.Candidate), distance(b.Candidate)),
			cmp.Compare(lightest(a.Holders), lightest(b.Holders)),
		)
	})
	return replicas
}

func distance(c Candidate) int {
	if c.Near {
		return 0
	}
	return 1
}

func lightest(holders []Holder) int {
	least := holders[0].Load
	for _, h := range holders {
		least = min(least, h.Load)
	}
	return least
}

func fitnessOf(ask Ask, c Candidate) fitness {
	switch {
	case c.Target.Leaving:
		return leaving
	case c.Down || c.unreachable():
		return outOfOrder
	case !c.Known:
		return mayFit
	}
	return max(floorFitness(ask, c), ageFitness(ask.MaxStaleness, c))
}

// floorFitness leaves it to a replica's holder, which asks the replica, when
// what is known isn't recent and the floor is older than the replica's lag.
func floorFitness(ask Ask, c Candidate) fitness {
	switch {
	case c.Applied.AtLeast(ask.Floor):
		return fits
	case c.SeenAgo < floorRecheck || ask.FloorAge < c.Behind:
		return behind
	}
	return mayFit
}

func ageFitness(bound time.Duration, c Candidate) fitness {
	if bound == 0 || c.Lag+c.SeenAgo <= bound {
		return fits
	}
	if c.Lag <= bound || c.SeenAgo >= ageRecheck {
		return mayFit
	}
	return stale
}

// reasonOf tells why none of the replicas is tried before the primary: what
// the most suitable one lacks.
func reasonOf(replicas []ranked) Reason {
	if len(replicas) == 0 {
		return NoReplica
	}
	switch replicas[0].fitness {
	case behind:
		return BehindFloor
	case stale:
		return TooStale
	default:
		return Unhealthy
	}
}
