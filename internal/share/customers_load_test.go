package share

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// More customers than connections are served without refusals and with few dials, at
// the usual load and in a wave of 1.7 times that. Without home hosts, each holder opens
// connections of all customers: 14 dials a second and target at the usual load, and half
// of the small customers' requests wait for one.
func TestSmallCustomersShareConnections(t *testing.T) {
	for _, load := range []float64{1, 1.7} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(t)
			f.settle()
			f.runMix(1, load*simRate, simDuration)
			large, medium, small, dials := f.report(simDuration)
			f.check()
			for _, s := range []summary{large, medium, small} {
				qt.Check(t, s.servedShare >= 0.999, qt.IsTrue)
				qt.Check(t, s.median, qt.Equals, time.Duration(0))
				qt.Check(t, s.p95 <= 25*time.Millisecond, qt.IsTrue)
			}
			qt.Check(t, dials <= 8, qt.IsTrue)
		})
	}
}

// A customer that sends as much as its callers can, beyond what the targets serve,
// doesn't keep others from connections.
func TestFloodLeavesConnectionsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t)
		f.settle()
		flooding := f.ids[5]
		f.requests.Go(func() {
			f.run(2, 1500, simDuration/2, func(r *rand.Rand) simRequest { return f.randomRequest(r, flooding) })
		})
		f.runMix(1, simRate, simDuration/2)
		f.report(simDuration / 2)
		others := f.summarize(slices.DeleteFunc(slices.Clone(f.ids), func(id topology.CustomerID) bool { return id == flooding }))
		t.Logf("others %+v, flood %+v", others, f.summarize([]topology.CustomerID{flooding}))
		f.check()
		qt.Check(t, others.servedShare >= 0.97, qt.IsTrue)
		qt.Check(t, others.p95 <= 100*time.Millisecond, qt.IsTrue)
	})
}

// Callers of a customer that rest inside of transactions hold connections for long, but
// not those that other customers need.
func TestRestingTransactionsLeaveConnectionsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t)
		f.settle()
		resting := f.ids[9]
		f.requests.Go(func() {
			f.run(2, 30, simDuration, func(*rand.Rand) simRequest {
				return simRequest{customer: resting, atLeader: true, priority: 0, work: 5 * time.Millisecond, statements: 2, rest: 3 * time.Second}
			})
		})
		f.runMix(1, simRate, simDuration)
		f.report(simDuration)
		others := f.summarize(slices.DeleteFunc(slices.Clone(f.ids), func(id topology.CustomerID) bool { return id == resting }))
		t.Logf("others %+v, resting %+v", others, f.summarize([]topology.CustomerID{resting}))
		f.check()
		qt.Check(t, others.servedShare >= 0.99, qt.IsTrue)
		qt.Check(t, others.p95 <= 50*time.Millisecond, qt.IsTrue)
	})
}

// When a home host dies, its customers are served by their next holders.
func TestCustomersOfDeadHomeAreServedByNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t)
		f.settle()
		f.runMix(1, simRate, simDuration/4)
		dead := f.homes[f.ids[30]].Order[0]
		f.mu.Lock()
		f.dead[dead] = true
		f.mu.Unlock()
		f.runMix(2, simRate, simDuration)
		large, medium, small, dials := f.report(simDuration)
		f.check()
		for _, s := range []summary{large, medium, small} {
			qt.Check(t, s.servedShare >= 0.999, qt.IsTrue)
			qt.Check(t, s.p95 <= 25*time.Millisecond, qt.IsTrue)
		}
		qt.Check(t, dials <= 10, qt.IsTrue)
	})
}
