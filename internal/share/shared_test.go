package share

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/capacity"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// saturate keeps n statements of 14 ms at a holder, each of another customer, until the
// returned function is called.
func (s *sharedSim) saturate(host topology.HostID, n int) (stop func()) {
	end := make(chan struct{})
	var senders sync.WaitGroup
	for i := range n {
		senders.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
					began := time.Now()
					s.serve(host, sharedCustomer(i), 1, 14*time.Millisecond, time.Second)
					if time.Since(began) < time.Millisecond { // refused at once
						time.Sleep(time.Millisecond)
					}
				}
			}
		})
	}
	return func() {
		close(end)
		senders.Wait()
	}
}

func (s *sharedSim) limit(host topology.HostID) int {
	p := s.pools[host]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit(time.Now())
}

func (s *sharedSim) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *sharedSim) limits() (sum int) {
	for _, id := range s.ids {
		sum += s.limit(id)
	}
	return sum
}

// What a holder doesn't use is lent to one at which statements wait, and returns within
// 300 ms after the lender has demand again.
func TestLentCapacityReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSim(t, true)
		time.Sleep(2 * time.Second)
		stopFirst := s.saturate(s.ids[0], 16)
		time.Sleep(500 * time.Millisecond)
		lent := s.limit(s.ids[0])
		qt.Check(t, lent >= 5, qt.IsTrue, qt.Commentf("%d", lent))
		stopSecond := s.saturate(s.ids[1], 16)
		time.Sleep(300 * time.Millisecond)
		first, second := s.limit(s.ids[0]), s.limit(s.ids[1])
		qt.Check(t, first <= 4 && second >= 2, qt.IsTrue, qt.Commentf("%d and %d", first, second))
		stopFirst()
		stopSecond()
		s.close()
	})
}

// Hosts make no calls while nothing waits, also when statements are in flight, and at most
// one call to each other holder in 100 ms while something waits.
func TestCallsOnlyWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSim(t, true)
		time.Sleep(2 * time.Second)
		stop := s.saturate(s.ids[0], 2)
		time.Sleep(2 * time.Second)
		stop()
		qt.Check(t, s.callCount(), qt.Equals, 0)
		stop = s.saturate(s.ids[0], 16)
		time.Sleep(2 * time.Second)
		stop()
		time.Sleep(time.Second)
		after := s.callCount()
		qt.Check(t, after >= 20*(sharedHolders-1) && after <= 27*(sharedHolders-1)+2, qt.IsTrue, qt.Commentf("%d calls", after))
		time.Sleep(5 * time.Second)
		qt.Check(t, s.callCount(), qt.Equals, after)
		s.close()
	})
}

// While the coordinator doesn't answer, the next holder stands in for it, and allocations
// of the dead one don't last.
func TestNextHolderStandsInForCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSim(t, true)
		time.Sleep(2 * time.Second)
		order := capacity.Coordinators("g", s.ids)
		stop := s.saturate(order[3], 16)
		time.Sleep(500 * time.Millisecond)
		qt.Check(t, s.coords[order[0]].Coordinated(), qt.Equals, 1)
		s.setDown(true, order[0])
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, s.coords[order[1]].Coordinated(), qt.Equals, 1)
		// The silent holder counts with its equal allocation.
		limit := s.limit(order[3])
		qt.Check(t, limit >= 4 && limit <= 5, qt.IsTrue, qt.Commentf("%d", limit))
		stop()
		time.Sleep(2 * time.Second)
		s.setDown(false, order[0])
		stop = s.saturate(order[3], 16)
		time.Sleep(500 * time.Millisecond)
		qt.Check(t, s.coords[order[0]].Coordinated(), qt.Equals, 1)
		qt.Check(t, s.limit(order[3]) >= 5, qt.IsTrue)
		stop()
		s.close()
	})
}

// A holder that reaches no other one has its equal allocation while requests wait there,
// and the others keep it free.
func TestPartitionedHolderHasEqualAllocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSim(t, true)
		time.Sleep(2 * time.Second)
		order := capacity.Coordinators("g", s.ids)
		cut, other := order[5], order[2]
		s.setDown(true, cut)
		stopCut, stopOther := s.saturate(cut, 16), s.saturate(other, 16)
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, s.limit(cut), qt.Equals, 1)
		limit := s.limit(other)
		qt.Check(t, limit >= 4 && limit <= 5, qt.IsTrue, qt.Commentf("%d", limit))
		stopCut()
		stopOther()
		s.close()
	})
}

// Holders of the previous version don't answer. Whichever they are, the others coordinate
// and keep the equal allocation of the old ones free.
func TestHoldersOfPreviousVersionCountEqually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedSim(t, true)
		order := capacity.Coordinators("g", s.ids)
		for _, old := range order[:2] {
			s.old[old] = true
			s.pools[old].SetSharing(nil)
		}
		time.Sleep(2 * time.Second)
		stop := s.saturate(order[4], 16)
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, s.coords[order[2]].Coordinated(), qt.Equals, 1)
		limit := s.limit(order[4])
		qt.Check(t, limit >= 3 && limit <= 4, qt.IsTrue, qt.Commentf("%d", limit))
		stop()
		s.close()
	})
}

// The limits of all holders stay within the target's work slots and queue, whichever
// holders are out of reach and come back.
func TestLimitsStayWithinTargetDuringFaults(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			s := newSharedSim(t, true)
			time.Sleep(2 * time.Second)
			s.flood(180, 8*time.Second)
			r := rand.New(rand.NewPCG(seed, 4))
			for range 80 {
				time.Sleep(100 * time.Millisecond)
				s.setDown(r.IntN(2) == 0, s.ids[r.IntN(sharedHolders)])
				qt.Check(t, s.limits() <= sharedSlots+simQueue, qt.IsTrue, qt.Commentf("%d", s.limits()))
			}
			s.setDown(false, s.ids...)
			s.close()
			qt.Check(t, s.target.shed, qt.Equals, 0)
		})
	}
}

// A pool whose target's capacity isn't shared has no limit but its own, and a holder that
// starts begins with an allocation of one.
func TestAllowanceOfPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, _ := newPool(t, 8, 8)
		limit := func() int {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.limit(time.Now())
		}
		pool.Allocate(3)
		_, shared := pool.Figures()
		qt.Check(t, shared, qt.IsFalse)
		qt.Check(t, limit(), qt.Equals, 8)
		pool.SetSharing(&Sharing{Slots: 4, Holders: 6, OnWaiting: func() {}})
		qt.Check(t, limit(), qt.Equals, 1)
		pool.Allocate(3)
		qt.Check(t, limit(), qt.Equals, 3)
		time.Sleep(2 * time.Second)
		qt.Check(t, limit(), qt.Equals, 4)
		pool.SetSharing(nil)
		qt.Check(t, limit(), qt.Equals, 8)
	})
}

// Where connections don't belong to customers, waiting requests are served within the
// allocation, in order of priority, and all of them when it rises.
func TestAllocationWithoutCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, _ := newPool(t, 8, 8)
		var wakes atomic.Int64
		pool.SetSharing(&Sharing{Slots: 4, Holders: 6, OnWaiting: func() { wakes.Add(1) }})
		pool.Allocate(1)
		var order []int
		var mu sync.Mutex
		var requests sync.WaitGroup
		for _, priority := range []int{2, 1, 0} {
			requests.Go(func() {
				c, err := pool.Acquire("", time.Now().Add(time.Second), time.Second, priority)
				if err != nil {
					t.Errorf("priority %d: %s", priority, err)
					return
				}
				mu.Lock()
				order = append(order, priority)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				pool.Release(c, true)
			})
			time.Sleep(time.Millisecond)
		}
		f, _ := pool.Figures()
		qt.Check(t, f.InFlight, qt.Equals, 1)
		qt.Check(t, f.Waiting, qt.Equals, [capacity.Priorities]int{1, 1, 0, 0})
		time.Sleep(15 * time.Millisecond)
		requests.Wait()
		qt.Check(t, order, qt.DeepEquals, []int{2, 0, 1})
		time.Sleep(capacity.MaxAge + time.Second)
		for range 5 {
			requests.Go(func() {
				c, err := pool.Acquire("", time.Now().Add(time.Second), time.Second, 0)
				if err == nil {
					time.Sleep(20 * time.Millisecond)
					pool.Release(c, true)
				}
			})
		}
		time.Sleep(time.Millisecond)
		qt.Check(t, wakes.Load(), qt.Equals, int64(1))
		f, _ = pool.Figures()
		qt.Check(t, f.InFlight, qt.Equals, 4)
		pool.Allocate(6)
		f, _ = pool.Figures()
		qt.Check(t, f.InFlight, qt.Equals, 5)
		requests.Wait()
	})
}

// usualLoad sends a load that the target serves without overload, from all holders.
func (s *sharedSim) usualLoad(seed uint64, rate float64, d time.Duration) {
	s.send(seed, rate, d, func(r *rand.Rand) (topology.HostID, topology.CustomerID) {
		i := r.IntN(20)
		return s.ids[(i+r.IntN(2))%sharedHolders], sharedCustomer(i)
	})
}

// At usual load and in a wave of 1.7 times that, shared capacity makes nobody wait longer
// by more than a few milliseconds, and refuses nothing.
func TestSharedCapacityAtUsualLoad(t *testing.T) {
	for _, rate := range []float64{100, 170} {
		outcomes := map[bool]sharedSummary{}
		for _, shared := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newSharedSim(t, shared)
				time.Sleep(2 * time.Second)
				s.usualLoad(7, rate, 20*time.Second)
				s.close()
				outcomes[shared] = s.summarize(func(*sharedResult) bool { return true })
				t.Logf("%g a second, shared %t: %+v, %d calls", rate, shared, outcomes[shared], s.calls)
			})
		}
		qt.Check(t, outcomes[true].p95 <= outcomes[false].p95+5*time.Millisecond, qt.IsTrue)
		qt.Check(t, outcomes[true].served >= outcomes[false].served, qt.IsTrue)
	}
}
