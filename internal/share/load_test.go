package share

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// The load of TestOverloadedPoolServesCapacityAndRefusesRest: three times what
// the pool can serve.
const (
	loadConnections = 4
	loadHold        = 20 * time.Millisecond // the pool serves 200 requests a second
	loadMaxWait     = 300 * time.Millisecond
	loadDuration    = 5 * time.Second
	urgentInterval  = 10 * time.Millisecond // 100 a second of priority 0
	otherInterval   = 2 * time.Millisecond  // 500 a second of priority 1
)

// loadOutcome counts the results of the requests of one priority.
type loadOutcome struct {
	served, refused, timedOut int
	longestWait               time.Duration // longest wait of a served request
}

// loadGenerator sends requests at an even rate and counts their outcomes.
type loadGenerator struct {
	pool     *Pool
	mu       sync.Mutex
	outcomes [2]loadOutcome
	requests sync.WaitGroup
}

func (g *loadGenerator) send(priority int, interval time.Duration) {
	for range loadDuration / interval {
		g.requests.Go(func() { g.request(priority) })
		time.Sleep(interval)
	}
}

func (g *loadGenerator) request(priority int) {
	began := time.Now()
	c, err := g.pool.Acquire("", began.Add(time.Second), loadMaxWait, priority)
	waited := time.Since(began)
	g.mu.Lock()
	outcome := &g.outcomes[priority]
	switch {
	case err == nil:
		outcome.served++
		outcome.longestWait = max(outcome.longestWait, waited)
	case waited == 0:
		outcome.refused++
	default:
		outcome.timedOut++
	}
	g.mu.Unlock()
	if err == nil {
		time.Sleep(loadHold)
		g.pool.Release(c, true)
	}
}

// An overloaded pool uses its full capacity, serves urgent requests first and
// refuses the rest at once, so that few requests wait in vain.
func TestOverloadedPoolServesCapacityAndRefusesRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, _ := newPool(t, loadConnections, loadConnections)
		generator := &loadGenerator{pool: pool}
		var senders sync.WaitGroup
		senders.Go(func() { generator.send(0, urgentInterval) })
		senders.Go(func() { generator.send(1, otherInterval) })
		senders.Wait()
		generator.requests.Wait()
		urgent, other := generator.outcomes[0], generator.outcomes[1]
		t.Logf("urgent %+v, other %+v", urgent, other)
		capacity := int(loadDuration/loadHold) * loadConnections
		qt.Check(t, urgent.served+other.served >= capacity*95/100, qt.IsTrue)
		qt.Check(t, urgent.served, qt.Equals, int(loadDuration/urgentInterval))
		qt.Check(t, max(urgent.longestWait, other.longestWait) <= loadMaxWait, qt.IsTrue)
		qt.Check(t, other.timedOut <= other.refused/10, qt.IsTrue)
	})
}
