package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// evenly spreads a demand evenly over the hosts.
func evenly(s *sim, total float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return total / float64(len(s.hosts)) }
}

// operate has a host's callers send operations until the end.
func (s *sim) operate(h *simHost, customer int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(h.index+1000*customer)))
	for {
		at := time.Since(s.start)
		rate := 0.0
		if s.usual {
			rate = s.limits[customer].Rate / 1.6 / float64(len(s.hosts))
		} else {
			rate = s.demand(h.index, at)
		}
		wait := s.poll
		if rate > 0 {
			wait = time.Duration(min(rng.ExpFloat64()/rate, 3600) * float64(time.Second))
		}
		time.Sleep(min(wait, s.poll))
		s.mu.Lock()
		ended, up, q := s.ended, h.up(time.Now()), h.quota
		s.mu.Unlock()
		if ended {
			return
		}
		if rate == 0 || wait > s.poll { // memoryless: drawn again
			continue
		}
		if up {
			go s.operateOnce(h, q, s.customers[customer], at)
		}
	}
}

func (s *sim) operateOnce(h *simHost, q *Quota, id topology.CustomerID, at time.Duration) {
	begun := time.Now()
	_, _, ok := q.Admit(id, begun.Add(time.Second))
	h.awaitThaw()
	s.mu.Lock()
	defer s.mu.Unlock()
	if q != h.quota || h.dead {
		return // its host died
	}
	half := s.byHalfSecond[at.Truncate(time.Second/2)]
	half.offered++
	if ok {
		half.admitted++
	}
	s.byHalfSecond[at.Truncate(time.Second/2)] = half
	if s.keep == nil || s.keep(at) {
		s.offered++
		if ok {
			s.admitted++
		}
		if ok || h.up(time.Now()) {
			s.waitedMax = max(s.waitedMax, time.Since(begun))
		}
	}
	if ok {
		s.ran[id] = append(s.ran[id], time.Since(s.start))
	}
}

// run runs the fleet for the duration. events are called at their times.
func (s *sim) run(seed uint64, d time.Duration, events map[time.Duration]func()) {
	for _, h := range s.hosts {
		for i := range s.customers {
			go s.operate(h, i, seed)
		}
	}
	times := make([]time.Duration, 0, len(events))
	for at := range events {
		times = append(times, at)
	}
	slices.Sort(times)
	for at := time.Duration(0); at < d; at = time.Since(s.start) {
		next := at.Truncate(simRound) + simRound
		if len(times) > 0 && times[0] <= next {
			time.Sleep(times[0] - at)
			s.mu.Lock()
			events[times[0]]()
			s.mu.Unlock()
			times = times[1:]
			continue
		}
		time.Sleep(next - at)
		s.round()
	}
	s.mu.Lock()
	s.ended = true
	for _, h := range s.hosts {
		h.thawAt = time.Time{}
	}
	s.mu.Unlock()
	time.Sleep(10 * time.Second) // all goroutines end
	s.mu.Lock()                  // what they wrote is read from here on
	defer s.mu.Unlock()
}
