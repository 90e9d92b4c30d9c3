package gossip

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func TestLeavingHostIsNotLiveAndOffersNothing(t *testing.T) {
	n := newFakeNetwork("north", "south")
	n.runRounds()
	qt.Check(t, n.hosts["a"].HasUsablePeer(), qt.IsTrue)
	qt.Check(t, n.hosts["a"].Sharers().Hosts, qt.HasLen, 2)
	n.hosts["b"].Leave()
	n.runRounds()
	qt.Check(t, liveIDs(n.hosts["a"]), qt.DeepEquals, []topology.HostID{"a"})
	qt.Check(t, n.hosts["a"].HasUsablePeer(), qt.IsFalse)
	qt.Check(t, n.hosts["a"].Sharers().Hosts, qt.HasLen, 1)
}

// Every request calls Sharers and Offers. Rebuilding such a list per request costs
// more the larger the fleet is: with 86 hosts it took two fifths of the CPU time.
func TestSharersAndOffersAreNotRebuiltPerRequest(t *testing.T) {
	n := newLargeFakeNetwork()
	g := n.hosts["a"]
	qt.Assert(t, g.Sharers().Hosts, qt.HasLen, largeFleetHosts)
	qt.Check(t, testing.AllocsPerRun(1000, func() { g.Sharers() }) < 1, qt.IsTrue)
	qt.Check(t, testing.AllocsPerRun(1000, func() { g.Offers("none") }), qt.Equals, 0.0)
}

// The version increases exactly when the list changes.
func TestSharersVersion(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	g := n.hosts["a"]
	first := g.Sharers()
	g.mu.Lock()
	g.sharersBuiltAt = g.sharersBuiltAt.Add(-sharersMaxAge)
	g.mu.Unlock()
	qt.Check(t, g.Sharers().Version, qt.Equals, first.Version)
	g.mu.Lock()
	g.hosts["c"].lastHeard, g.hosts["c"].lastReported = time.Time{}, time.Time{}
	g.sharersBuiltAt = g.sharersBuiltAt.Add(-sharersMaxAge)
	g.mu.Unlock()
	second := g.Sharers()
	qt.Check(t, second.Version > first.Version, qt.IsTrue)
	qt.Check(t, second.Hosts, qt.HasLen, 2)
	qt.Check(t, first.Hosts, qt.HasLen, 3)
}

// The three lowest ranks read the store for all hosts. Ranked by address alone,
// they were in one failure domain, and a single partition cut off all three.
func TestLowestRanksAreInDifferentDomains(t *testing.T) {
	n := newFakeNetwork("north", "north", "north", "north", "south", "south", "coast")
	n.runRounds()
	ranks := map[int]topology.Domain{}
	for _, g := range n.hosts {
		ranks[g.Rank()] = g.self.Domain
	}
	qt.Check(t, ranks, qt.HasLen, 7)
	qt.Check(t, map[topology.Domain]bool{ranks[0]: true, ranks[1]: true, ranks[2]: true}, qt.HasLen, 3)
}

func TestLoneHostRanksFirstOnlyAfterFirstContactWait(t *testing.T) {
	n := newFakeNetwork("north")
	g := n.hosts["a"]
	g.opts.Seeds = []topology.HostID{"z"}
	qt.Check(t, g.Rank(), qt.Equals, math.MaxInt)
	g.startedAt = g.startedAt.Add(-firstContactWait)
	qt.Check(t, g.Rank(), qt.Equals, 0)
	g.startedAt, g.opts.Seeds = steady.Now(), []topology.HostID{"a"}
	qt.Check(t, g.Rank(), qt.Equals, 0)
}
