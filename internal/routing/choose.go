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

	floorRecheck = 20 * time.Millisecond  // until a replica that was behind a floor is tried again
	ageRecheck   = 100 * time.Millisecond // until one that was too old is
	localBenefit = 4                      // requests under way that outweigh the hop to another holder
)

// Ask is the part of a batch that decides where it may run.
type Ask struct {
	Class        pool.Class
	ReadOnly     bool // a read that was declared to write nothing
	Floor        topology.Position
	FloorAge     time.Duration // how long the floor has existed at least, or unknownAge
	MaxStaleness time.Duration // 0: any age
	ServeStale   bool          // past MaxStaleness serve when the primary can't
	Slot         int           // of the primary, for what may write; anySlot if none is set
	Draw         uint64        // random number that spreads requests among equals
}

// Candidate is one target as far as it is known.
type Candidate struct {
	Target  topology.Target
	Holders []Holder // by slot number
	Near    bool     // in this host's domain
	Down    bool     // failed lately
	Known   bool     // Applied, Lag and SeenAgo are set
	Applied topology.Position
	Behind  time.Duration // lower bound on its lag
	Lag     time.Duration // upper bound on the data's age in the latest answer
	SeenAgo time.Duration // since Applied was first heard of, or last found too low or too old
}

// Holder is the host of one slot.
type Holder struct {
	Host  topology.HostID
	Local bool // this host
	Gone  bool // calls to it fail
	Load  int  // requests of this host under way on the slot
}

// GroupView is one group as far as it is known.
type GroupView struct {
	Term       uint64
	Primary    topology.TargetID // empty if not known
	Candidates []Candidate
}

// Try is one place at which a batch may run.
type Try struct {
	Target     topology.TargetID
	Slot       int
	Host       topology.HostID
	Class      pool.Class // a read that wasn't declared may write at the primary
	Replica    bool
	ServeStale bool // the target's age doesn't matter
}

// Decision is the places at which a batch may run, best first.
type Decision struct {
	Tries  []Try
	Reason Reason // why a read goes to the primary first, empty if it doesn't
}

// Choose returns where the batch may run. It has no tries when nothing is
// known that could run it.
func Choose(ask Ask, view GroupView) Decision {
	if ask.Class == pool.Write {
		return Decision{Tries: primaryTries(ask, view, pool.Write)}
	}
	return chooseRead(ask, view)
}

// remaining returns the tries that still make sense after failed ended in code,
// best first. What a target lacks it lacks at each of its holders; a holder that
// can't be reached is often cut off together with the target's other ones.
func remaining(tries []Try, failed Try, code result.Code) []Try {
	sameTarget := func(t Try) bool { return t.Target == failed.Target }
	switch code {
	case result.BehindFloor:
		return slices.DeleteFunc(tries, sameTarget)
	case result.TooStale:
		return slices.DeleteFunc(tries, func(t Try) bool { return sameTarget(t) && !t.ServeStale })
	case result.ReadOnlyTarget:
		return slices.DeleteFunc(tries, func(t Try) bool { return t.Replica })
	case result.HostUnreachable, result.HolderLost, result.TargetDown:
		same := slices.DeleteFunc(slices.Clone(tries), func(t Try) bool { return !sameTarget(t) })
		return append(slices.DeleteFunc(tries, sameTarget), same...)
	}
	return tries
}

func primaryTries(ask Ask, view GroupView, class pool.Class) []Try {
	for _, c := range view.Candidates {
		if c.Target.ID == view.Primary {
			return slotTries(c, ask, Try{Class: class})
		}
	}
	return nil
}

// slotTries returns a copy of try for each of the candidate's slots, best first.
func slotTries(c Candidate, ask Ask, try Try) []Try {
	var tries []Try
	for _, slot := range slotOrder(c.Holders, ask, try.Class) {
		try.Target = c.Target.ID
		try.Slot = slot
		try.Host = c.Holders[slot].Host
		tries = append(tries, try)
	}
	return tries
}

func slotOrder(holders []Holder, ask Ask, class pool.Class) []int {
	if len(holders) == 0 {
		return nil
	}
	if class == pool.Write && ask.Slot != anySlot {
		return onlySlot(ask.Slot, len(holders))
	}
	order := make([]int, len(holders))
	for i := range order {
		order[i] = (i + int(ask.Draw%uint64(len(holders)))) % len(holders)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cost(holders[a]), cost(holders[b])) })
	return order
}

func onlySlot(slot, slots int) []int {
	if slot >= slots {
		return nil
	}
	return []int{slot}
}

// cost counts the requests under way; a hop to another host counts as several.
func cost(h Holder) int {
	switch {
	case h.Local:
		return h.Load
	case h.Gone:
		return math.MaxInt
	}
	return h.Load + localBenefit
}

// unreachable tells whether no holder of the candidate can be called.
func (c Candidate) unreachable() bool {
	for _, h := range c.Holders {
		if !h.Gone {
			return false
		}
	}
	return true
}
