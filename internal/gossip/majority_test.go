package gossip

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// In a partition between failure domains, a host on the side with fewer domains
// must report that it isn't connected.
func TestMinorityOfDomainsIsNotConnected(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "coast")
	n.runRounds()
	qt.Check(t, n.hosts["a"].Connected(), qt.IsTrue)
	for _, g := range n.hosts { // make the latest answers too old to count
		g.shiftContacts(-ContactWindow, 0)
	}
	n.partitioned["d"] = true
	n.runRounds()
	qt.Check(t, n.hosts["d"].Connected(), qt.IsFalse)
	qt.Check(t, n.hosts["a"].Connected(), qt.IsTrue)
}

// A cut-off host forgets the hosts that are silent for long, but not their domains.
func TestCutOffHostNeverCountsAsConnected(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "coast")
	g := n.hosts["a"]
	g.opts.Domains = []topology.Domain{"north", "south", "coast"}
	n.runRounds()
	qt.Check(t, g.Connected(), qt.IsTrue)
	n.ageAllHosts(2 * livenessTimeout)
	g.shiftContacts(-2*livenessTimeout, 0)
	qt.Check(t, g.Connected(), qt.IsFalse)
}

// Of two halves, one may go on: that with the first host of the first domain.
func TestOneHalfOfTheDomainsIsEnough(t *testing.T) {
	for _, test := range []struct {
		reachable string
		want      bool
	}{{"ab", true}, {"cd", false}, {"ad", true}, {"bc", false}, {"a", false}, {"bcd", true}} {
		var voters []voter
		for _, d := range "abcd" {
			voters = append(voters, voter{domain: topology.Domain(d), host: topology.HostID(d), reachable: strings.ContainsRune(test.reachable, d)})
		}
		qt.Check(t, isMajority(voters, nil), qt.Equals, test.want, qt.Commentf("%s", test.reachable))
	}
}

// Whichever way a partition runs, also through failure domains, at most one side has
// a majority. Guards against this failure: a domain with a host on each side counted
// on both.
func TestAtMostOneSideHasAMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var voters, other []voter
		domains := []topology.Domain{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "domains")]
		for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
			v := voter{domain: rapid.SampledFrom(domains).Draw(t, "domain"), host: topology.HostID(rune('a' + i)), reachable: rapid.Bool().Draw(t, "side")}
			voters = append(voters, v)
			v.reachable = !v.reachable
			other = append(other, v)
		}
		if isMajority(voters, domains) && isMajority(other, domains) {
			t.Fatalf("both sides have a majority: %v", voters)
		}
	})
}

// A holder whose partition has just healed may not have heard yet that another host
// took its duty.
func TestContactIsSettledOnlyAfterNewsDelay(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var c Contact
	for ms := 0; ms <= 900; ms += 300 {
		c.Record(at(ms), at(ms+5))
		qt.Check(t, c.Connected(at(ms+5)), qt.IsTrue)
		qt.Check(t, c.Settled(at(-1000), at(ms+5)), qt.Equals, ms > 700, qt.Commentf("at %d ms", ms))
	}
	qt.Check(t, c.Settled(at(-1000), at(1699)), qt.IsTrue)
	qt.Check(t, c.Settled(at(-1000), at(1700)), qt.IsFalse)
	c.Record(at(1600), at(2100)) // a late answer doesn't end the series
	qt.Check(t, c.Settled(at(-1000), at(2200)), qt.IsTrue)
	c.Record(at(2400), at(2405)) // the gap is ContactWindow
	qt.Check(t, c.Settled(at(-1000), at(2406)), qt.IsFalse)
	qt.Check(t, c.Settled(at(-1000), at(3105)), qt.IsFalse)
	c.Record(at(3000), at(3005))
	qt.Check(t, c.Settled(at(-1000), at(3106)), qt.IsTrue)
}

// Hosts of one domain take turns in answering, and the domain's contact lasts.
func TestHostIsSettledAfterLongContact(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	g := n.hosts["a"]
	qt.Check(t, g.Connected(), qt.IsTrue)
	qt.Check(t, g.Settled(time.Time{}), qt.IsFalse)
	qt.Check(t, g.Settled(steady.Now()), qt.IsTrue) // a duty acquired during the contact
	g.shiftContacts(0, -2*NewsDelay)
	qt.Check(t, g.Settled(time.Time{}), qt.IsTrue)
}

// A partition that runs through a failure domain, as the one that was found in a hunt:
// both sides had a host of north.
func TestPartitionThroughADomainLeavesOneSideConnected(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "west", "coast", "coast")
	for _, g := range n.hosts {
		g.opts.HostVotes = true
	}
	n.runRounds()
	sideA := map[topology.HostID]bool{"a": true, "c": true, "d": true} // north, south, west
	n.partition = func(x, y topology.HostID) bool { return sideA[x] != sideA[y] }
	for _, g := range n.hosts {
		g.shiftContacts(-ContactWindow, 0)
	}
	n.runRounds()
	for id, g := range n.hosts {
		qt.Check(t, g.Connected(), qt.Equals, sideA[id], qt.Commentf("%s", id))
	}
}

// No platform checks the tokens of pauses: a second holder ends those that the first relies on.
func TestPartitionThroughADomainLeavesOneSideSettledAlsoWithFencedPrimaries(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "west", "coast", "coast")
	for _, g := range n.hosts {
		g.opts.Domains = []topology.Domain{"north", "south", "west", "coast"}
	}
	n.runRounds()
	sideA := map[topology.HostID]bool{"a": true, "c": true, "e": true} // north, south, coast
	n.partition = func(x, y topology.HostID) bool { return sideA[x] != sideA[y] }
	for _, g := range n.hosts {
		g.shiftContacts(-ContactWindow, 0)
	}
	n.runRounds()
	for _, g := range n.hosts {
		g.shiftContacts(0, -2*NewsDelay)
	}
	both := n.hosts["a"].Settled(time.Time{}) && n.hosts["b"].Settled(time.Time{})
	qt.Check(t, both, qt.IsFalse, qt.Commentf("holders on both sides may act"))
}

// A host that starts on the smaller side of a partition knows only the hosts there and
// must not count itself to a majority.
func TestHostThatStartsInsideAPartitionTrustsSeniors(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "west", "coast")
	for _, g := range n.hosts {
		g.opts.HostVotes = true
		g.opts.Domains = []topology.Domain{"coast", "north", "south", "west"}
	}
	n.runRounds()
	side := map[topology.HostID]bool{"a": true, "c": true, "z": true} // one of north, and south
	n.partition = func(x, y topology.HostID) bool { return side[x] != side[y] }
	for _, g := range n.hosts {
		g.shiftContacts(-ContactWindow, 0)
		g.startedAt = g.startedAt.Add(-2 * voteTimeout)
	}
	n.runRounds()
	delete(n.hosts, "a") // restarts as z in the same domain
	z := New(Options{
		Self: Host{Addr: "z", Name: "host-z", Domain: "north"}, Seeds: []topology.HostID{"c"}, HostVotes: true,
		Domains: []topology.Domain{"coast", "south"}, // few domains, so that its own count would do
		Catalog: catalog.NewStore(), Caller: n, Offers: func() []Offer { return nil }, OnOffers: func([]Offer, time.Time) {}, Log: logr.Discard(),
	})
	z.SetClaims(&fakeClaims{})
	n.hosts["z"] = z
	for range 3 {
		z.exchange(context.Background(), "c")
	}
	qt.Check(t, n.hosts["c"].Connected(), qt.IsFalse)
	qt.Check(t, z.Connected(), qt.IsFalse)
	z.startedAt = z.startedAt.Add(-voteTimeout)
	qt.Check(t, z.Connected(), qt.IsTrue, qt.Commentf("by its own count"))
}

// In a large fleet a holder relies on contacts of other hosts for relayedContactWindow.
// Others must not take its duty before that has passed, also if they know of some hosts
// fewer than the holder.
func TestTakeoverWaitsForRelayedContacts(t *testing.T) {
	n := newLargeFakeNetwork()
	g := n.hosts["a"]
	g.opts.HostVotes = true
	for id := range g.hosts {
		if len(g.hosts) > largeFleetThreshold-3 {
			delete(g.hosts, id)
		}
	}
	qt.Check(t, g.LargeFleet(), qt.IsTrue)
	qt.Check(t, relayedContactWindow+NewsDelay < duty.TakeoverTime(true), qt.IsTrue)
	qt.Check(t, ContactWindow < duty.TakeoverTime(false), qt.IsTrue)
}

// Hosts that have been silent for long may be on the other side of the partition.
func TestLongPartitionThroughADomainLeavesHoldersOfOneSideSettled(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "west", "coast", "coast")
	for _, g := range n.hosts {
		g.opts.HostVotes = true
		g.opts.Domains = []topology.Domain{"north", "south", "west", "coast"}
	}
	n.runRounds()
	sideA := map[topology.HostID]bool{"a": true, "c": true, "e": true} // north, south, coast
	n.partition = func(x, y topology.HostID) bool { return sideA[x] != sideA[y] }
	n.ageAllHosts(2 * voteTimeout)
	for _, g := range n.hosts {
		g.shiftContacts(-2*voteTimeout, 0)
		g.startedAt = g.startedAt.Add(-2 * voteTimeout)
	}
	n.runRounds()
	for _, g := range n.hosts {
		g.shiftContacts(0, -2*NewsDelay)
	}
	both := n.hosts["a"].Settled(time.Time{}) && n.hosts["b"].Settled(time.Time{})
	qt.Check(t, both, qt.IsFalse, qt.Commentf("holders on both sides may act after %v", 2*voteTimeout))
}
