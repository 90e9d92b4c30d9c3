package failover

import (
	"testing"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// maxOrderLateness is the longest time until an order without an answer is carried out.
	maxOrderLateness = 8 * time.Second
	lateOrderSeeds   = 100
)

// restart replaces the host's machine by one that has seen nothing.
func (s *simulation) restart(h *simHost) {
	h.machine = NewMachine(h.id, s.group, TimingsFor(1), customer.AckMajority, s.now)
	h.queuedEvents = nil
}

// sendLate sends an order that gets no answer and is carried out late.
func (s *simulation) sendLate(h *simHost, o Order) {
	sentAt := s.now
	s.after(time.Duration(s.rand.Int64N(int64(maxOrderLateness))), func() {
		if t := s.targets[o.Target]; !t.down {
			s.executeOrder(t, o, sentAt)
		}
	})
	s.after(simRequestTimeout, func() { s.step(h, OrderFinished{Order: o, Result: OrderUnknown, SentAt: sentAt}) })
}

// Guards against confirmed writes that are lost to an order which is carried out after all hosts
// have restarted: the targets' terms refuse it, so no host has to remember it.
func TestLateOrdersThatNoHostRemembersLoseNoConfirmedWrite(t *testing.T) {
	late, promotions, confirmed := 0, 0, 0
	for seed := range uint64(lateOrderSeeds) {
		s := newSimulation(seed, 3, 3)
		s.onOrder = func(h *simHost, o Order) bool {
			if s.rand.IntN(3) > 0 {
				return false
			}
			late++
			s.sendLate(h, o)
			return true
		}
		for range 4 {
			s.run(time.Second + time.Duration(s.rand.Int64N(int64(3*time.Second))))
			down := s.targets[topology.TargetID([]string{"t0", "t1", "t2"}[s.rand.IntN(3)])]
			down.down = true
			s.run(time.Duration(s.rand.Int64N(int64(2 * time.Second))))
			for _, h := range s.hosts {
				s.restart(h)
			}
			down.restart()
			s.run(time.Duration(s.rand.Int64N(int64(4 * time.Second))))
		}
		s.run(maxOrderLateness)
		if s.violation != nil {
			t.Fatalf("seed %d: %v", seed, s.violation)
		}
		promotions, confirmed = promotions+len(s.promotions), confirmed+len(s.confirmed)
	}
	t.Logf("%d late orders, %d promotions, %d confirmed writes", late, promotions, confirmed)
	if late < lateOrderSeeds || promotions < lateOrderSeeds {
		t.Errorf("only %d late orders and %d promotions", late, promotions)
	}
}
