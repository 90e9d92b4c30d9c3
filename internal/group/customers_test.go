package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A read prefers a target with an idle connection of its customer to a nearer one to which
// a connection must be opened first, so that a small customer needs few connections.
func TestReadPrefersTargetWithCustomersConnection(t *testing.T) {
	order := func(near, far time.Duration) (ids []topology.TargetID) {
		for _, c := range Order([]Candidate{
			{ID: "near", SameDomain: true, Open: 8, Idle: 8, Latency: 10 * time.Millisecond, Delay: near},
			{ID: "far", Open: 8, Idle: 7, Latency: 10 * time.Millisecond, Delay: far},
		}) {
			ids = append(ids, c.ID)
		}
		return ids
	}
	qt.Check(t, order(0, 0), qt.DeepEquals, []topology.TargetID{"near", "far"})
	qt.Check(t, order(15*time.Millisecond, 0), qt.DeepEquals, []topology.TargetID{"far", "near"})
	qt.Check(t, order(15*time.Millisecond, 15*time.Millisecond), qt.DeepEquals, []topology.TargetID{"near", "far"})
}

// While the leader is short of capacity, reads that replicas may serve go to replicas, also
// to one that is slower and farther away.
func TestReadsAvoidLeaderThatIsShortOfCapacity(t *testing.T) {
	first := func(leaderDelay time.Duration) topology.TargetID {
		return Order([]Candidate{
			{ID: "leader", IsLeader: true, SameDomain: true, Open: 8, Idle: 6, Latency: 8 * time.Millisecond, Delay: leaderDelay},
			{ID: "replica", Open: 8, Idle: 6, Latency: 16 * time.Millisecond},
		})[0].ID
	}
	qt.Check(t, first(0), qt.Equals, topology.TargetID("leader"))
	qt.Check(t, first(30*time.Millisecond), qt.Equals, topology.TargetID("replica"))
}

// After the customers were removed, each further sync must undo what a late request of a
// customer changed in a pool, although the configuration is the same.
func TestGroupForgetsRemovedCustomersAfterLateRequest(t *testing.T) {
	g := New(Options{ID: "g", Dialer: leadingDialer{}, Log: logr.Discard()})
	defer g.Close()
	g.SetCustomers(&share.Customers{Known: map[topology.CustomerID]bool{"a": true}})
	g.SetMembers([]catalog.Member{{Target: topology.Target{ID: "t", Group: "g"}}}, func(topology.Target) int { return 1 })
	g.SetCustomers(nil)
	g.mu.Lock()
	pool := g.members["t"].pool
	g.mu.Unlock()
	c, err := pool.Acquire("a", time.Now().Add(time.Second), time.Second, 1)
	if err == nil {
		pool.Release(c, true)
	}
	qt.Check(t, pool.LoadFor("a").ByCustomer, qt.IsTrue)
	g.SetCustomers(nil)
	qt.Check(t, pool.LoadFor("a").ByCustomer, qt.IsFalse)
}
