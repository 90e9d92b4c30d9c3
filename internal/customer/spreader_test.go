package customer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

// convergenceTimeout is the time within which an accepted change is active on
// all hosts.
const convergenceTimeout = 10 * time.Second

// TestChangeReachesEveryHostAndOnlyRelaysWatch checks that changes reach all
// hosts of two domains while only two relays per domain watch the platform.
func TestChangeReachesEveryHostAndOnlyRelaysWatch(t *testing.T) {
	c := newCluster(t)
	var nodes []*node
	for i := range 12 {
		nodes = append(nodes, c.addHost(fmt.Sprint("h", i), fmt.Sprint("d", i%2), true))
	}
	c.putCustomer("a", 1)
	for _, n := range nodes {
		waitFor(t, convergenceTimeout, "first rate on all hosts", func() bool { return n.rate("a") == 1 })
	}
	waitFor(t, convergenceTimeout, "only relays watch", func() bool { return c.platform.Calls().Waiting == 2*2*4 })
	c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": 2}})
	for _, n := range nodes {
		waitFor(t, convergenceTimeout, "second rate on all hosts", func() bool { return n.rate("a") == 2 })
	}
}

// TestHostStartsFromPeersWhileThePlatformIsDown checks that a new host reads
// its configuration from a seed during an outage of the platform. A host
// without seeds reports why it is not ready, and recovers after the outage.
func TestHostStartsFromPeersWhileThePlatformIsDown(t *testing.T) {
	c := newCluster(t)
	existing := c.addHost("h1", "d1", true)
	c.putCustomer("a", 1)
	waitFor(t, convergenceTimeout, "rate on the first host", func() bool { return existing.rate("a") == 1 })
	c.platform.UpdateFaults(func(f *standin.Faults) { f.Outage = standin.OutageRefuse })
	fresh := c.addHost("h2", "d2", false, "nobody", "h1")
	waitFor(t, convergenceTimeout, "configuration from the peer", func() bool { return fresh.rate("a") == 1 })
	isolated := c.addHost("h3", "d3", false)
	waitFor(t, convergenceTimeout, "reason for not being ready", func() bool {
		_, reason := isolated.syncer.Health()
		return reason != "" && isolated.rate("a") == -1
	})
	ready, reason := isolated.syncer.Health()
	qt.Check(t, ready, qt.IsFalse)
	qt.Check(t, reason, qt.Contains, "platform unreachable since")
	qt.Check(t, isolated.store.Ready(), qt.IsFalse)
	c.platform.UpdateFaults(func(f *standin.Faults) { f.Outage = standin.OutageNone })
	waitFor(t, convergenceTimeout, "configuration after the outage", func() bool { return isolated.rate("a") == 1 })
}

// TestDomainWithoutPlatformPullsFromOtherDomains checks that the relay of a
// domain that cannot reach the platform receives changes from relays of other
// domains.
func TestDomainWithoutPlatformPullsFromOtherDomains(t *testing.T) {
	c := newCluster(t)
	a, b := c.addHost("h1", "d1", true), c.addHost("h2", "d2", true)
	c.putCustomer("a", 1)
	waitFor(t, convergenceTimeout, "rate and list of hosts on both hosts", func() bool {
		return a.rate("a") == 1 && b.rate("a") == 1 && len(b.store.Hosts()) == 2
	})
	b.platformLink.setDown(true)
	c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": 2}})
	waitFor(t, convergenceTimeout, "change received through the peer", func() bool { return b.rate("a") == 2 })
}

// TestPartitionedDomainNeverRevertsAndCatchesUp checks that a domain without a
// connection to the platform and other domains keeps its configuration.
// Afterwards it catches up without going back to an older version.
func TestPartitionedDomainNeverRevertsAndCatchesUp(t *testing.T) {
	c := newCluster(t)
	a, b := c.addHost("h1", "d1", true), c.addHost("h2", "d2", true)
	c.putCustomer("a", 1)
	waitFor(t, convergenceTimeout, "rate and list of hosts on both hosts", func() bool {
		return a.rate("a") == 1 && b.rate("a") == 1 && len(b.store.Hosts()) == 2
	})
	c.setPartitioned("d2", true)
	b.platformLink.setDown(true)
	for i := range 5 {
		rate := float64(10 + i)
		c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": rate}})
		waitFor(t, convergenceTimeout, "change in the connected domain", func() bool { return a.rate("a") == rate })
		qt.Check(t, b.rate("a"), qt.Equals, 1.0)
	}
	c.setPartitioned("d2", false)
	last := 0.0
	waitFor(t, convergenceTimeout, "partitioned domain catching up", func() bool {
		rate := b.rate("a")
		qt.Check(t, rate >= last, qt.IsTrue, qt.Commentf("rate went from %v back to %v", last, rate))
		last = rate
		return rate == 14
	})
}

// TestStoppedRelaysAreReplaced checks that changes still reach all hosts after
// both relays of a domain stopped and left the list of hosts.
func TestStoppedRelaysAreReplaced(t *testing.T) {
	c := newCluster(t)
	nodes := map[string]*node{}
	for i := range 6 {
		id := fmt.Sprint("h", i)
		nodes[id] = c.addHost(id, "d", true)
	}
	c.putCustomer("a", 1)
	for _, n := range nodes {
		waitFor(t, convergenceTimeout, "first rate on all hosts", func() bool { return n.rate("a") == 1 })
	}
	waitFor(t, convergenceTimeout, "only relays watch", func() bool { return c.platform.Calls().Waiting == 2*4 })
	c.platform.ResetCalls()
	waitFor(t, convergenceTimeout, "both relays watch again", func() bool { return len(watchers(c)) == 2 })
	for _, id := range watchers(c) {
		nodes[id].stop()
		c.platform.Delete("host", id)
		delete(nodes, id)
	}
	c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": 2}})
	for _, n := range nodes {
		waitFor(t, 3*convergenceTimeout, "rate after the relays stopped", func() bool { return n.rate("a") == 2 })
	}
}

// watchers returns the hosts that started to watch customers since the last
// ResetCalls.
func watchers(c *cluster) []string {
	var ids []string
	for _, call := range c.platform.Calls().Calls {
		if call.Method == "watch" && call.Kind == "customer" {
			ids = append(ids, call.Caller)
		}
	}
	return ids
}
