package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	anySlot    = -1
	unknownAge = math.MaxInt64

	floorRecheckDelay     = 20 * time.Millisecond  // delay before a replica that was behind a floor is tried again
	stalenessRecheckDelay = 100 * time.Millisecond // delay before a replica that was too stale is tried again
	remoteHopCost         = 4                      // in-flight requests that a hop to another host counts as
)

// Criteria holds the properties of a batch that determine where it may run.
type Criteria struct {
	Class        pool.Class
	ReadOnly     bool              // read that was declared to write nothing
	Floor        topology.Position // replication position that a target must have applied to serve the read
	FloorAge     time.Duration     // lower bound on the age of the floor position, or unknownAge
	MaxStaleness time.Duration     // 0: no limit
	ServeStale   bool              // if the primary is unavailable, serve data older than MaxStaleness
	Slot         int               // slot of the primary for writes and undeclared reads; anySlot if none is required
	Random       uint64            // random number that distributes requests among equal destinations
}

// Candidate is a target and what this host knows about it.
type Candidate struct {
	Target         topology.Target
	Holders        []Holder // indexed by slot number
	Near           bool     // in this host's failure domain
	RecentlyFailed bool     // a request failed recently because of the target's health
	StatusKnown    bool     // Applied, LagUpperBound and StatusAge are set
	Applied        topology.Position
	LagLowerBound  time.Duration // lower bound on the replica lag
	LagUpperBound  time.Duration // upper bound on the data's age in the latest status
	StatusAge      time.Duration // since Applied was first observed, or last rejected as behind a floor or too stale
}

// Holder is the host that holds one slot of a target.
type Holder struct {
	Host        topology.HostID
	Local       bool // the slot is held by this host
	Unreachable bool // the fleet marked the host as gone, or a recent call to it failed
	InFlight    int  // requests of this host in flight on the slot
}

// GroupView is a snapshot of what this host knows about one group.
type GroupView struct {
	Term       uint64
	Primary    topology.TargetID // empty if unknown
	Candidates []Candidate
}

// Destination is a slot of a target at which a batch may run.
type Destination struct {
	Target     topology.TargetID
	Slot       int
	Host       topology.HostID
	Class      pool.Class // pool.Write also for an undeclared read at the primary, which may write there
	Replica    bool
	ServeStale bool // accept any staleness of the target's data
}

// Decision lists the destinations for a batch, best first.
type Decision struct {
	Destinations []Destination
	Reason       Reason // why a read goes to the primary first; empty if it doesn't
}

// Choose returns the destinations at which the batch may run. There are none if
// no known target can run it.
func Choose(criteria Criteria, view GroupView) Decision {
	if criteria.Class == pool.Write {
		return Decision{Destinations: primaryDestinations(criteria, view, pool.Write)}
	}
	return chooseRead(criteria, view)
}

// remainingDestinations returns the destinations still worth trying after an
// attempt at failed ended with code, best first. A target that is behind a
// floor, too stale or read-only is so at each of its holders. If a holder can't
// be reached, the other holders of the same target are often unreachable as
// well, so they are tried last.
func remainingDestinations(destinations []Destination, failed Destination, code result.Code) []Destination {
	sameTarget := func(d Destination) bool { return d.Target == failed.Target }
	switch code {
	case result.BehindFloor:
		return slices.DeleteFunc(destinations, sameTarget)
	case result.TooStale:
		return slices.DeleteFunc(destinations, func(d Destination) bool { return sameTarget(d) && !d.ServeStale })
	case result.ReadOnlyTarget:
		return slices.DeleteFunc(destinations, func(d Destination) bool { return d.Replica })
	case result.HostUnreachable, result.HolderLost, result.TargetDown:
		onSameTarget := slices.DeleteFunc(slices.Clone(destinations), func(d Destination) bool { return !sameTarget(d) })
		return append(slices.DeleteFunc(destinations, sameTarget), onSameTarget...)
	}
	return destinations
}

func primaryDestinations(criteria Criteria, view GroupView, class pool.Class) []Destination {
	for _, c := range view.Candidates {
		if c.Target.ID == view.Primary {
			return slotDestinations(c, criteria, Destination{Class: class})
		}
	}
	return nil
}

// slotDestinations returns a copy of base for each of the candidate's slots,
// best first.
func slotDestinations(c Candidate, criteria Criteria, base Destination) []Destination {
	var destinations []Destination
	for _, slot := range slotOrder(c.Holders, criteria, base.Class) {
		base.Target = c.Target.ID
		base.Slot = slot
		base.Host = c.Holders[slot].Host
		destinations = append(destinations, base)
	}
	return destinations
}

// slotOrder returns the slots to try, least loaded first, or only the required
// slot for a write.
func slotOrder(holders []Holder, criteria Criteria, class pool.Class) []int {
	if len(holders) == 0 {
		return nil
	}
	if class == pool.Write && criteria.Slot != anySlot {
		return onlySlot(criteria.Slot, len(holders))
	}
	order := make([]int, len(holders))
	for i := range order {
		order[i] = (i + int(criteria.Random%uint64(len(holders)))) % len(holders)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(holderCost(holders[a]), holderCost(holders[b])) })
	return order
}

func onlySlot(slot, slots int) []int {
	if slot >= slots {
		return nil
	}
	return []int{slot}
}

// holderCost returns the number of requests in flight. A hop to another host
// adds remoteHopCost; an unreachable host has the highest cost.
func holderCost(h Holder) int {
	switch {
	case h.Local:
		return h.InFlight
	case h.Unreachable:
		return math.MaxInt
	}
	return h.InFlight + remoteHopCost
}

// allHoldersUnreachable reports whether none of the candidate's holders can be
// called.
func (c Candidate) allHoldersUnreachable() bool {
	for _, h := range c.Holders {
		if !h.Unreachable {
			return false
		}
	}
	return true
}
