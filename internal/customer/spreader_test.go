package customer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

// inForceLimit is the time in which an accepted change is in force everywhere.
const inForceLimit = 10 * time.Second

func TestChangeIsInForceOnEveryHostAndOnlyRelaysWatch(t *testing.T) {
	c := newCluster(t)
	var nodes []*node
	for i := range 12 {
		nodes = append(nodes, c.add(fmt.Sprint("h", i), fmt.Sprint("d", i%2), true))
	}
	c.putCustomer("a", 1)
	for _, n := range nodes {
		waitFor(t, inForceLimit, "first rate", func() bool { return n.rate("a") == 1 })
	}
	waitFor(t, inForceLimit, "only relays watch", func() bool { return c.platform.Calls().Waiting == 2*2*4 })
	c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": 2}})
	for _, n := range nodes {
		waitFor(t, inForceLimit, "second rate", func() bool { return n.rate("a") == 2 })
	}
}

func TestHostStartsFromPeersWhileThePlatformIsDown(t *testing.T) {
	c := newCluster(t)
	old := c.add("h1", "d1", true)
	c.putCustomer("a", 1)
	waitFor(t, inForceLimit, "first host", func() bool { return old.rate("a") == 1 })
	c.platform.Change(func(f *standin.Faults) { f.Outage = standin.OutageRefuse })
	fresh := c.add("h2", "d2", false, "nobody", "h1")
	waitFor(t, inForceLimit, "configuration from the peer", func() bool { return fresh.rate("a") == 1 })
	alone := c.add("h3", "d3", false)
	waitFor(t, inForceLimit, "the reason", func() bool {
		_, reason := alone.spread.Health()
		return reason != "" && alone.rate("a") == -1
	})
	ready, reason := alone.spread.Health()
	qt.Check(t, ready, qt.IsFalse)
	qt.Check(t, reason, qt.Contains, "platform is out of reach since")
	qt.Check(t, alone.store.Ready(), qt.IsFalse)
	c.platform.Change(func(f *standin.Faults) { f.Outage = standin.OutageNone })
	waitFor(t, inForceLimit, "configuration after the outage", func() bool { return alone.rate("a") == 1 })
}

func TestDomainCutOffFromThePlatformLearnsThroughOthers(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("h1", "d1", true), c.add("h2", "d2", true)
	c.putCustomer("a", 1)
	waitFor(t, inForceLimit, "both", func() bool {
		return a.rate("a") == 1 && b.rate("a") == 1 && len(b.store.Hosts()) == 2
	})
	b.link.setCut(true)
	c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": 2}})
	waitFor(t, inForceLimit, "the peer's news", func() bool { return b.rate("a") == 2 })
}

func TestCutDomainNeverRevertsAndCatchesUp(t *testing.T) {
	c := newCluster(t)
	a, b := c.add("h1", "d1", true), c.add("h2", "d2", true)
	c.putCustomer("a", 1)
	waitFor(t, inForceLimit, "both", func() bool {
		return a.rate("a") == 1 && b.rate("a") == 1 && len(b.store.Hosts()) == 2
	})
	c.setCut("d2", true)
	b.link.setCut(true)
	for i := range 5 {
		rate := float64(10 + i)
		c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": rate}})
		waitFor(t, inForceLimit, "the platform's side", func() bool { return a.rate("a") == rate })
		qt.Check(t, b.rate("a"), qt.Equals, 1.0)
	}
	c.setCut("d2", false)
	last := 0.0
	waitFor(t, inForceLimit, "the cut domain", func() bool {
		rate := b.rate("a")
		qt.Check(t, rate >= last, qt.IsTrue, qt.Commentf("from %v to %v", last, rate))
		last = rate
		return rate == 14
	})
}

func TestLostRelaysAreReplaced(t *testing.T) {
	c := newCluster(t)
	nodes := map[string]*node{}
	for i := range 6 {
		id := fmt.Sprint("h", i)
		nodes[id] = c.add(id, "d", true)
	}
	c.putCustomer("a", 1)
	for _, n := range nodes {
		waitFor(t, inForceLimit, "first rate", func() bool { return n.rate("a") == 1 })
	}
	waitFor(t, inForceLimit, "only relays watch", func() bool { return c.platform.Calls().Waiting == 2*4 })
	c.platform.ResetCalls()
	waitFor(t, inForceLimit, "both relays watch again", func() bool { return len(watchers(c)) == 2 })
	for _, id := range watchers(c) {
		nodes[id].stop()
		c.platform.Delete("host", id)
		delete(nodes, id)
	}
	c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": 2}})
	for _, n := range nodes {
		waitFor(t, 3*inForceLimit, "rate after the relays' end", func() bool { return n.rate("a") == 2 })
	}
}

// watchers returns the hosts that watched customers since the last reset.
func watchers(c *cluster) []string {
	var ids []string
	for _, call := range c.platform.Calls().Calls {
		if call.Method == "watch" && call.Kind == "customer" {
			ids = append(ids, call.Caller)
		}
	}
	return ids
}
