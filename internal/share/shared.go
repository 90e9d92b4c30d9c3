package share

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/capacity"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// allocationsApplied counts allocations that pools were given.
var allocationsApplied = metrics.NewCounter("nettlewalk_capacity_allocations_total")

// slownessMaxAge is how long a comparison with the usual response time counts: the 16
// answers of one take 200 to 300 ms at a busy holder.
const slownessMaxAge = 500 * time.Millisecond

// Sharing configures a pool whose target's capacity is shared between its holders, see
// package capacity.
type Sharing struct {
	Slots   int // work slots of the target
	Holders int // hosts with connections to the target
	// OnWaiting is called when the coordinator should be told that a request waits. It is
	// called with a lock held and must not block.
	OnWaiting func()
}

// sharing is the state of a pool whose target's capacity is shared.
type sharing struct {
	Sharing
	pool      uint64 // identifies the pool in figures
	allowance capacity.Allowance
	refused   int // statements
	// starts counts the statements that began in the present and in the last
	// capacity.Interval.
	starts     [2]map[startKey]int
	startsFrom time.Time // of the present one
}

type startKey struct {
	customer topology.CustomerID
	priority int
}

// SetSharing makes the pool share the target's capacity with other holders, or not if s
// is nil.
func (p *Pool) SetSharing(s *Sharing) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s == nil && p.sharing == nil:
	case s == nil:
		p.sharing = nil
		p.dispatch(now)
	case p.sharing == nil:
		p.sharing = &sharing{Sharing: *s, pool: rand.Uint64(), allowance: capacity.NewAllowance(now)}
	default:
		p.sharing.Sharing = *s
	}
}

// Allocate sets how many statements the pool may have in flight at the target; n = 0: the
// holders of the target aren't allocated parts any more.
func (p *Pool) Allocate(n int) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sharing == nil {
		return
	}
	allocationsApplied.Inc()
	p.sharing.allowance.Allocate(n, now)
	p.dispatch(now)
}

// Figures returns what the coordinator needs to know of this pool, or false if the
// target's capacity isn't shared.
func (p *Pool) Figures() (capacity.Figures, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sharing
	if s == nil {
		return capacity.Figures{}, false
	}
	p.queue.dropExpired(now)
	s.rotate(now)
	f := capacity.Figures{Pool: s.pool, InFlight: p.active, Refused: s.refused}
	if now.Sub(p.concurrency.slownessAt) <= slownessMaxAge {
		f.Slowness = p.concurrency.slowness
	}
	demand := map[startKey]int{}
	for k, n := range s.recentStarts() {
		f.Started[k.priority] += n
		demand[k] += n
	}
	if p.active >= p.limit(now) { // otherwise requests wait for connections only
		for _, w := range p.queue.waiters {
			k := startKey{w.customer, capacity.PriorityIndex(w.priority)}
			f.Waiting[k.priority]++
			demand[k]++
		}
	}
	list := make([]capacity.CustomerDemand, 0, len(demand))
	for k, n := range demand {
		list = append(list, capacity.CustomerDemand{Customer: capacity.CustomerKey(k.customer), Priority: k.priority, Count: n})
	}
	f.SetCustomers(list)
	return f, true
}

// rotate begins a new period of starts if the present one has ended.
func (s *sharing) rotate(now time.Time) {
	elapsed := now.Sub(s.startsFrom)
	if elapsed < capacity.Interval {
		return
	}
	s.starts[1] = nil
	if elapsed < 2*capacity.Interval {
		s.starts[1] = s.starts[0]
	}
	s.starts[0], s.startsFrom = map[startKey]int{}, now
}

// recentStarts returns the starts of the last period that is over, or of the present one
// if those are more.
func (s *sharing) recentStarts() map[startKey]int {
	total := func(m map[startKey]int) int {
		n := 0
		for _, count := range m {
			n += count
		}
		return n
	}
	if total(s.starts[0]) > total(s.starts[1]) {
		return s.starts[0]
	}
	return s.starts[1]
}

// isLimited reports whether the number of statements in flight is limited. The caller
// holds p.mu.
func (p *Pool) isLimited() bool { return p.byCustomer || p.sharing != nil }

// limit returns how many statements may be in flight. The caller holds p.mu.
func (p *Pool) limit(now time.Time) int {
	limit := p.concurrency.max(p.size)
	if p.sharing != nil {
		limit = min(limit, p.sharing.allowance.Limit(p.sharing.Slots, p.sharing.Holders, now))
	}
	return limit
}

// noteReached records that a request waits because of the limit. The pool's own limit
// rises only if it is the one that was reached. The caller holds p.mu.
func (p *Pool) noteReached() {
	if p.sharing == nil || p.active >= p.concurrency.max(p.size) {
		p.concurrency.noteReached()
	}
}

// noteWaiting wakes the coordinator if a request waits because of the limit. The caller
// holds p.mu.
func (p *Pool) noteWaiting(now time.Time) {
	if p.sharing == nil || p.active < p.limit(now) || len(p.queue.waiters) == 0 {
		return
	}
	if p.sharing.allowance.NoteWaiting(now) {
		p.sharing.OnWaiting()
	}
}

// noteStart records that a request begins. The caller holds p.mu.
func (p *Pool) noteStart(customer topology.CustomerID, priority int, now time.Time) {
	if p.sharing == nil {
		return
	}
	p.sharing.rotate(now)
	p.sharing.starts[0][startKey{customer, capacity.PriorityIndex(priority)}]++
}

// SharedDump is the state of a pool whose target's capacity is shared.
type SharedDump struct {
	Allocated   int   `json:"allocated"` // 0: no allocation
	AllocatedMS int64 `json:"allocated_ms_ago,omitempty"`
	Limit       int   `json:"limit"`     // from the allocation
	Own         int   `json:"own_limit"` // from the pool's own observations
}

// DumpShared returns the state of the allocation, nil if the target's capacity isn't
// shared.
func (p *Pool) DumpShared() *SharedDump {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sharing
	if s == nil {
		return nil
	}
	d := &SharedDump{Limit: s.allowance.Limit(s.Slots, s.Holders, now), Own: p.concurrency.max(p.size)}
	if n, age, ok := s.allowance.Allocated(now); ok {
		d.Allocated, d.AllocatedMS = n, age.Milliseconds()
	}
	return d
}
