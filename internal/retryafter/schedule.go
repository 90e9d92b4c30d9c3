package retryafter

import (
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Reason tells why a caller was refused.
type Reason uint8

// The reasons.
const (
	QueueTooLong  Reason = iota // the expected wait exceeds what the request can wait
	NoLeader                    // the group has no leader
	TargetEjected               // no target that may serve the statement answers
	Unconfirmed                 // the configuration can't be confirmed
	ShuttingDown                // the host is shutting down, others serve
	reasonCount
)

var reasonNames = [reasonCount]string{"queue", "no_leader", "ejected", "unconfirmed", "shutting_down"}

// String returns the name used in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{QueueTooLong, NoLeader, TargetEjected, Unconfirmed, ShuttingDown}
}

// Refusal describes a caller that is refused with a guarantee that nothing was run.
type Refusal struct {
	Reason   Reason
	Customer topology.CustomerID // "": none
	Priority int                 // 0 is the most urgent
	Left     time.Duration       // the latest return at which the caller can still be served
	In       time.Duration       // until capacity is expected; 0: can't be told
	Rate     float64             // statements per second for which there will be capacity
}

const (
	// returnShare is the part of the expected capacity that is promised. The other half
	// is for new requests: during an overload they are at least as many.
	returnShare = 0.5
	// minTurn is how many slots a customer leaves free at least between two of its own, for
	// customers that are refused later. With one slot, customers that were refused last in
	// a crowd returned behind those of a large customer.
	minTurn = 3
	// minSlot is the resolution of the times that are told.
	minSlot = time.Millisecond
	// maxSlot lets at least four callers of a host return in the first second, also at a
	// host whose part of the capacity is very small.
	maxSlot = 250 * time.Millisecond
	// slotChange is the factor by which the rate must change for the slots to change.
	// Otherwise each measurement of the rate would shift all slots.
	slotChange = 1.25
	// maxPromises bounds the memory of a schedule to about 24 KB. At the shortest slots
	// used by the deployments (7 ms) it is several seconds, more than most deadlines.
	maxPromises = 512
	// priorityMemory is how long slots are kept for a priority after a refusal with it:
	// longer than a peak of one request type, 6.7 s.
	priorityMemory = 10 * time.Second
	// maxPriorities bounds the priorities that are told apart: the deployments have three,
	// and the least urgent of four gets every eighth slot.
	maxPriorities = 4
)

// promise is a slot that was given to a caller.
type promise struct {
	at       time.Time
	customer topology.CustomerID
	priority int
}

// Schedule has the slots promised to callers that one host refused, for one group. Not
// safe for concurrent use.
type Schedule struct {
	epoch      time.Time     // start of slot 0
	slot       time.Duration // length of a slot
	promises   []promise     // not yet due, sorted by time
	priorities map[int]time.Time
	outlooks   [reasonCount]outlook
}

// NewSchedule returns a schedule whose slots begin at the given time. Hosts should start
// theirs at different times, so that their first callers don't return together.
func NewSchedule(epoch time.Time) *Schedule {
	return &Schedule{epoch: epoch, priorities: map[int]time.Time{}}
}

// Next returns after what time the refused caller should return. ok is false if no time
// within the caller's limit is free. The slot is then not taken.
func (s *Schedule) Next(now time.Time, r *Refusal) (after time.Duration, ok bool) {
	if r.Reason == ShuttingDown {
		return 0, true
	}
	s.dropDue(now)
	s.setRate(r.Rate)
	s.notePriority(now, r.Priority)
	from := s.outlooks[r.Reason].expect(now, r.In)
	if len(s.promises) >= maxPromises {
		return 0, false
	}
	at, ok := s.freeSlot(r, from, now.Add(r.Left))
	if !ok {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(s.promises, at, func(p promise, t time.Time) int { return p.at.Compare(t) })
	s.promises = slices.Insert(s.promises, i, promise{at, r.Customer, r.Priority})
	return at.Sub(now), true
}

// NoteServed records that a statement was served. Estimates of when capacity returns are
// trusted again, those for the leader only if it served the statement.
func (s *Schedule) NoteServed(atLeader bool) {
	for reason := range s.outlooks {
		if Reason(reason) != NoLeader || atLeader {
			s.outlooks[reason] = outlook{}
		}
	}
}

// Promised returns the number of callers that are expected to return, and when the last of
// them returns.
func (s *Schedule) Promised(now time.Time) (n int, last time.Duration) {
	s.dropDue(now)
	if n = len(s.promises); n > 0 {
		last = s.promises[n-1].at.Sub(now)
	}
	return n, last
}

// Step returns the longest doubled time in force, 0 if no estimate has failed.
func (s *Schedule) Step(now time.Time) time.Duration {
	var longest time.Duration
	for _, o := range s.outlooks {
		if now.Sub(o.refusedAt) <= forgetAfter {
			longest = max(longest, o.step)
		}
	}
	return longest
}

func (s *Schedule) dropDue(now time.Time) {
	due := 0
	for due < len(s.promises) && !s.promises[due].at.After(now) {
		due++
	}
	s.promises = slices.Delete(s.promises, 0, due)
}

// setRate sets the length of the slots.
func (s *Schedule) setRate(perSecond float64) {
	slot := maxSlot
	if perSecond > 0 {
		slot = time.Duration(min(float64(time.Second)/(perSecond*returnShare), float64(maxSlot)))
	}
	slot = max(slot, minSlot)
	change := float64(slot) / float64(max(s.slot, 1))
	if change > slotChange || change < 1/slotChange {
		s.slot = slot
	}
}

func (s *Schedule) notePriority(now time.Time, priority int) {
	for p, seen := range s.priorities {
		if now.Sub(seen) > priorityMemory {
			delete(s.priorities, p)
		}
	}
	if _, known := s.priorities[priority]; known || len(s.priorities) < maxPriorities {
		s.priorities[priority] = now
	}
}

// freeSlot returns the start of the first free slot between the times that the caller may
// take.
func (s *Schedule) freeSlot(r *Refusal, from, latest time.Time) (time.Time, bool) {
	skip := 0
	if r.Customer != "" {
		var last time.Time
		if last, skip = s.turn(r); skip > 0 && !last.Add(s.slot).Before(from) {
			from = last.Add(s.slot)
		} else {
			skip = 0 // its earlier callers return before capacity is expected
		}
	}
	spacing := int64(1) << s.moreUrgent(r.Priority)
	i := int64(max(0, from.Sub(s.epoch)+s.slot-1) / s.slot)
	taken := 0 // index of the first promise that isn't before the slot
	for ; ; i++ {
		start := s.epoch.Add(time.Duration(i) * s.slot)
		if start.After(latest) {
			return time.Time{}, false
		}
		for taken < len(s.promises) && s.promises[taken].at.Before(start) {
			taken++
		}
		switch {
		case i%spacing != spacing-1: // kept for more urgent callers
		case skip > 0: // kept for other customers
			skip--
		case taken == len(s.promises) || !s.promises[taken].at.Before(start.Add(s.slot)):
			return start, true
		}
	}
}

// moreUrgent returns the number of known priorities that are more urgent. For each of them
// every second slot is kept: with one third each, urgent callers that were refused late in
// a crowd returned with the others.
func (s *Schedule) moreUrgent(priority int) int {
	n := 0
	for p := range s.priorities {
		if p < priority {
			n++
		}
	}
	return n
}

// turn returns the last slot promised to the customer at the refusal's priority, and how
// many slots after it are left to others: one for each other customer that has as many
// callers waiting, and at least minTurn. skip is 0 if the customer has no promised slot.
func (s *Schedule) turn(r *Refusal) (last time.Time, skip int) {
	waiting := map[topology.CustomerID]int{}
	for _, p := range s.promises {
		if p.priority != r.Priority {
			continue
		}
		waiting[p.customer]++
		if p.customer == r.Customer {
			last = p.at
		}
	}
	own := waiting[r.Customer]
	if own == 0 {
		return time.Time{}, 0
	}
	for customer, n := range waiting {
		if customer != r.Customer && n >= own {
			skip++
		}
	}
	return last, max(skip, minTurn)
}
