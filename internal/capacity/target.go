package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// Interval is the time between two rounds of a coordinator. Two of them and a round
	// trip are within the 300 ms in which lent capacity must return.
	Interval = 100 * time.Millisecond
	// MaxAge is how long figures and allocations count.
	MaxAge = 1 * time.Second
	// surplusDivisor sets the statements in flight beyond the work slots, as a part of
	// those: 2 for 4 work slots. With 4.5 ms of work and a round trip of 2 ms, 1.8 work
	// slots would otherwise be idle.
	surplusDivisor = 2
	// targetQueue is the number of statements that a target queues before it refuses
	// others. The register doesn't state it.
	targetQueue = 32
	// busyFactor is the part of the capacity that is left after a refusal.
	busyFactor = 0.7
	// slowPercent is the response time, as a percentage of the usual one, above which
	// the capacity falls, and minSlowFactor the least part that one reduction leaves.
	slowPercent   = 200
	minSlowFactor = 0.5
	// contendedFactor is how many times the capacity may wait or be in flight before it is
	// divided. Up to that, a statement that finds a queue at the target waits for two others
	// at most, 30 ms. Dividing made statements wait longer at 0.62 of what the target serves
	// (95 % within 41 ms instead of 31 ms), since figures are 100 ms old.
	contendedFactor = 2
	// reduceInterval is the least time between two reductions: the holders' measurements
	// span about 16 answers each, which they get in 200 to 300 ms.
	reduceInterval = 300 * time.Millisecond
)

// Base returns the capacity of a target that answers as fast as usual.
func Base(slots int) int {
	slots = max(slots, 1)
	return slots + (slots+surplusDivisor-1)/surplusDivisor
}

// EqualAllocation returns the allocation of a holder that doesn't send figures.
func EqualAllocation(slots, holders int) int {
	return min(max(Base(slots)/max(holders, 1), 1), MaxAllocation(slots, holders))
}

// MaxAllocation returns the largest allocation of one holder. Holders that follow
// decisions of different coordinators together don't exceed the target's work slots and
// queue.
func MaxAllocation(slots, holders int) int {
	return max((max(slots, 1)+targetQueue)/max(holders, 1), 1)
}

// Uncontended returns the allocation of each holder while hardly anything waits: one holder
// alone can use all work slots.
func Uncontended(slots, holders int) int { return min(max(slots, 1), MaxAllocation(slots, holders)) }

// holder is what a coordinator knows of one holder of a target.
type holder struct {
	figures   Figures
	at        time.Time // of the figures; zero: none
	refused   int       // of Figures.Refused, counted before the present round
	allocated int       // in the last round
	carry     float64   // allocation that was lost by rounding down in earlier rounds
}

// Target is a coordinator's state of one target.
type Target struct {
	slots     int
	capacity  float64
	reducedAt time.Time
	holders   map[topology.HostID]*holder
}

// NewTarget returns the state of a target of which nothing is known.
func NewTarget(slots int) *Target {
	return &Target{slots: slots, capacity: float64(Base(slots)), holders: map[topology.HostID]*holder{}}
}

// Capacity returns the number of statements that the target should have in flight.
func (t *Target) Capacity() int { return int(t.capacity) }

// Note records a holder's figures. Invalid ones are ignored.
func (t *Target) Note(id topology.HostID, f Figures, now time.Time) {
	if !f.valid() {
		return
	}
	h := t.holders[id]
	if h == nil {
		h = &holder{refused: f.Refused}
		t.holders[id] = h
	}
	if h.figures.Pool != f.Pool {
		h.refused, h.carry = f.Refused, 0
	}
	h.figures, h.at = f, now
}

// Waits reports whether anything waits for the target, as far as recent figures tell.
func (t *Target) Waits(now time.Time) bool {
	for _, h := range t.holders {
		if h.recent(now) && h.figures.waits() {
			return true
		}
	}
	return false
}

func (h *holder) recent(now time.Time) bool { return !h.at.IsZero() && now.Sub(h.at) <= MaxAge }

// Divide adjusts the capacity and returns the allocations of the holders: those listed
// and those with recent figures.
func (t *Target) Divide(listed []topology.HostID, now time.Time) map[topology.HostID]int {
	for id, h := range t.holders {
		if !h.recent(now) && !slices.Contains(listed, id) {
			delete(t.holders, id)
		}
	}
	for _, id := range listed {
		if t.holders[id] == nil {
			t.holders[id] = &holder{}
		}
	}
	t.adjust(now)
	remaining := t.capacity
	var active []*holder
	for _, id := range slices.Sorted(maps.Keys(t.holders)) {
		h := t.holders[id]
		switch {
		case !h.recent(now):
			h.allocated, h.carry = EqualAllocation(t.slots, len(t.holders)), 0
			remaining -= float64(h.allocated)
		case h.figures.idle():
			h.allocated, h.carry = 1, 0
		default:
			active = append(active, h)
		}
	}
	t.allocate(active, remaining)
	if !t.contended(now) {
		for _, h := range t.holders {
			if h.recent(now) {
				h.allocated = max(h.allocated, Uncontended(t.slots, len(t.holders)))
			}
		}
	}
	allocations := make(map[topology.HostID]int, len(t.holders))
	for id, h := range t.holders {
		allocations[id] = h.allocated
	}
	return allocations
}

// contended reports whether more statements wait or are in flight than the target should
// be sent without an order between the holders.
func (t *Target) contended(now time.Time) bool {
	statements := 0
	for _, h := range t.holders {
		if !h.recent(now) {
			continue
		}
		statements += h.figures.InFlight
		for _, n := range h.figures.Waiting {
			statements += n
		}
	}
	return float64(statements) > contendedFactor*t.capacity || t.capacity < float64(t.slots)
}

// adjust lowers the capacity if the target refuses statements or is slower than usual, and
// raises it otherwise.
func (t *Target) adjust(now time.Time) {
	refusals, weight, slowness := 0, 0, 0
	for _, h := range t.holders {
		if !h.recent(now) {
			continue
		}
		refusals += max(h.figures.Refused-h.refused, 0)
		h.refused = h.figures.Refused
		if h.figures.Slowness > 0 {
			weight += 1 + h.figures.InFlight
			slowness += h.figures.Slowness * (1 + h.figures.InFlight)
		}
	}
	factor := 1.0
	if weight > 0 && slowness > slowPercent*weight {
		factor = max(slowPercent*float64(weight)/float64(slowness), minSlowFactor)
	}
	if refusals > 0 {
		factor = min(factor, busyFactor)
	}
	switch {
	case factor == 1:
		t.capacity = min(t.capacity+1, float64(Base(t.slots)))
	case t.reducedAt.IsZero() || now.Sub(t.reducedAt) >= reduceInterval:
		t.capacity, t.reducedAt = max(t.capacity*factor, 1), now
	}
}

// allocate divides n statements in flight between holders with demand. A holder whose part
// is less than one may have one in flight, but only its part is counted, since it has less
// than one in flight on average. What is lost by rounding counts in later rounds.
func (t *Target) allocate(active []*holder, n float64) {
	parts, sum := t.parts(active), 0.0
	for _, part := range parts {
		sum += part
	}
	limit := MaxAllocation(t.slots, len(t.holders))
	wanted := make([]float64, len(active))
	var larger []int // holders with more than one
	left := n
	for i, h := range active {
		if sum > 0 {
			wanted[i] = max(n, 0) * parts[i] / sum
		}
		if wanted[i]+h.carry < 1 {
			h.allocated, h.carry = 1, 0
			left -= wanted[i]
			continue
		}
		wanted[i] += h.carry
		h.allocated = min(int(wanted[i]), limit)
		left -= float64(h.allocated)
		larger = append(larger, i)
	}
	slices.SortStableFunc(larger, func(a, b int) int {
		return cmp.Compare(wanted[b]-float64(active[b].allocated), wanted[a]-float64(active[a].allocated))
	})
	for _, i := range larger {
		h := active[i]
		if left >= 0.5 && h.allocated < limit {
			h.allocated++
			left--
		}
		h.carry = min(max(wanted[i]-float64(h.allocated), -1), 1)
	}
}

// parts returns how much of the statements that the target completes in one Interval
// each holder should run: the most urgent first, then the customers equally, each of them
// at its holders in proportion to its demand there.
func (t *Target) parts(active []*holder) []float64 {
	completed := 0
	for _, h := range active {
		for _, n := range h.figures.Started {
			completed += n
		}
	}
	budget := max(float64(completed), t.capacity)
	parts := make([]float64, len(active))
	for p := range Priorities {
		if budget <= 0 {
			break
		}
		budget -= serve(active, p, budget, parts)
	}
	return parts
}

// customerShare is the demand of one customer, or of several that a holder doesn't name.
type customerShare struct {
	count    int // customers
	demand   float64
	byHolder map[int]float64
}

// serve adds the part of at most budget statements of a priority to parts and returns how
// many it added.
func serve(active []*holder, priority int, budget float64, parts []float64) float64 {
	named := map[uint32]*customerShare{}
	var list []*customerShare
	total := 0.0
	for i, h := range active {
		rest := h.figures.demand(priority)
		for _, c := range h.figures.Customers {
			if c.Priority != priority || rest <= 0 {
				continue
			}
			n := min(c.Count, rest)
			rest -= n
			s := named[c.Customer]
			if s == nil {
				s = &customerShare{count: 1, byHolder: map[int]float64{}}
				named[c.Customer] = s
				list = append(list, s)
			}
			s.demand += float64(n)
			s.byHolder[i] += float64(n)
			total += float64(n)
		}
		if rest > 0 {
			list = append(list, &customerShare{count: max(min(h.figures.Others, rest), 1), demand: float64(rest), byHolder: map[int]float64{i: float64(rest)}})
			total += float64(rest)
		}
	}
	level := math.Inf(1)
	if total > budget {
		level = fairLevel(list, budget)
	}
	for _, s := range list {
		served := min(s.demand, level*float64(s.count))
		for i, n := range s.byHolder {
			parts[i] += served * n / s.demand
		}
	}
	return min(total, budget)
}

// fairLevel returns how many statements each customer may have served so that budget are
// served in all. The demand of all must exceed budget.
func fairLevel(list []*customerShare, budget float64) float64 {
	sorted := slices.SortedFunc(slices.Values(list), func(a, b *customerShare) int {
		return cmp.Compare(a.demand/float64(a.count), b.demand/float64(b.count))
	})
	customers := 0
	for _, s := range sorted {
		customers += s.count
	}
	for _, s := range sorted {
		level := budget / float64(customers)
		if s.demand/float64(s.count) >= level {
			return level
		}
		budget -= s.demand
		customers -= s.count
	}
	return math.Inf(1)
}
