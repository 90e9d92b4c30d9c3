package share

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// The load of the test below: three times what the pool can serve.
const (
	loadConnections = 4
	loadHold        = 20 * time.Millisecond // so that the pool serves 200 a second
	loadPatience    = 300 * time.Millisecond
	loadFor         = 5 * time.Second
	urgentEvery     = 10 * time.Millisecond // 100 a second of priority 0
	otherEvery      = 2 * time.Millisecond  // 500 a second of priority 1
)

// loadOutcome is what the callers of one priority got.
type loadOutcome struct {
	served, refusedAtOnce, gaveUp int
	longest                       time.Duration // wait of one that was served
}

// callers sends requests at an even pace and notes what becomes of them.
type callers struct {
	pool *Pool
	mu   sync.Mutex
	got  [2]loadOutcome
	all  sync.WaitGroup
}

func (l *callers) send(priority int, every time.Duration) {
	for range loadFor / every {
		l.all.Go(func() { l.one(priority) })
		time.Sleep(every)
	}
}

func (l *callers) one(priority int) {
	began := time.Now()
	c, err := l.pool.Acquire(began.Add(time.Second), loadPatience, priority)
	waited := time.Since(began)
	l.mu.Lock()
	o := &l.got[priority]
	switch {
	case err == nil:
		o.served++
		o.longest = max(o.longest, waited)
	case waited == 0:
		o.refusedAtOnce++
	default:
		o.gaveUp++
	}
	l.mu.Unlock()
	if err == nil {
		time.Sleep(loadHold)
		l.pool.Release(c, true)
	}
}

// An overloaded pool serves all that it can, what is urgent first, and refuses
// the rest at once: hardly anybody waits in vain.
func TestAnOverloadedPoolServesWhatItCanAndRefusesTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, _ := newPool(t, loadConnections, loadConnections)
		l := &callers{pool: pool}
		var senders sync.WaitGroup
		senders.Go(func() { l.send(0, urgentEvery) })
		senders.Go(func() { l.send(1, otherEvery) })
		senders.Wait()
		l.all.Wait()
		urgent, other := l.got[0], l.got[1]
		t.Logf("urgent %+v, other %+v", urgent, other)
		capacity := int(loadFor/loadHold) * loadConnections
		qt.Check(t, urgent.served+other.served >= capacity*95/100, qt.IsTrue)
		qt.Check(t, urgent.served, qt.Equals, int(loadFor/urgentEvery))
		qt.Check(t, max(urgent.longest, other.longest) <= loadPatience, qt.IsTrue)
		qt.Check(t, other.gaveUp <= other.refusedAtOnce/10, qt.IsTrue)
	})
}
