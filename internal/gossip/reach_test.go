package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// seenAgo makes a host appear as seen, and its last answer as sent, some time ago.
func (g *Gossip) seenAgo(id topology.HostID, ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := steady.Now().Add(-ago)
	k := g.hosts[id]
	k.lastHeard, k.lastReported, k.contact = at, at, Contact{since: at, last: at}
	g.contacts[k.host.Domain] = &Contact{since: at, last: at}
	g.presentBuiltAt = time.Time{}
}

// The votes of the sides of a partition are never more than all votes together, for
// however long it lasts, also if it runs through a domain. A limit that is divided by
// votes would be exceeded.
func TestVotesOfAllSidesAreAtMostAll(t *testing.T) {
	for name, split := range map[string]string{"a domain": "ef", "through a domain": "bef", "one host": "a", "two sides of two": "ab"} {
		t.Run(name, func(t *testing.T) {
			n := newFakeNetwork("x", "x", "y", "y", "z", "z")
			n.runRounds()
			side := func(id topology.HostID) bool {
				for _, s := range split {
					if id == topology.HostID(s) {
						return true
					}
				}
				return false
			}
			whole := n.hosts["a"].Reach()
			qt.Check(t, whole.Total() > 0.999, qt.IsTrue)
			for _, ago := range []time.Duration{0, time.Second, 10 * time.Second, 40 * time.Second} {
				total := 0.0
				counted := map[bool]bool{}
				for _, id := range []topology.HostID{"a", "b", "c", "d", "e", "f"} {
					g := n.hosts[id]
					for other := range n.hosts {
						if other == id {
							continue
						}
						if side(other) != side(id) {
							g.seenAgo(other, ago)
						}
					}
					for other := range n.hosts { // after those of the other side: a shared domain is in contact
						if other != id && side(other) == side(id) {
							g.seenAgo(other, 0)
						}
					}
					if reach := g.Reach(); !counted[side(id)] {
						counted[side(id)] = true
						total += reach.Total()
					}
				}
				if ago >= ContactWindow {
					qt.Check(t, total <= 1.001, qt.IsTrue, qt.Commentf("%.3f after %s", total, ago))
				}
			}
		})
	}
}

// A side without most votes doesn't take over those of hosts that it has forgotten.
func TestForgottenHostsKeepTheirVotes(t *testing.T) {
	n := newFakeNetwork("x", "x", "y", "y", "z", "z")
	n.runRounds()
	g := n.hosts["a"]
	before := g.Reach()
	for id := range n.hosts {
		if id != "a" {
			g.seenAgo(id, time.Minute)
		}
	}
	g.mu.Lock()
	clear(g.hosts)
	g.mu.Unlock()
	after := g.Reach()
	qt.Check(t, after.Self, qt.Equals, before.Self)
	qt.Check(t, after.Domains["x"], qt.Equals, before.Self)
	qt.Check(t, after.Total() < 0.17, qt.IsTrue)
}

// A host that starts out of contact with everybody doesn't know how many hosts share its
// domain's vote, and has none.
func TestHostWithoutContactHasNoVote(t *testing.T) {
	n := newFakeNetwork("x", "x")
	r := n.hosts["b"].Reach()
	qt.Check(t, r.Total(), qt.Equals, 0.0)
	qt.Check(t, r.Self, qt.Equals, 0.0)
}

// A host that restarts or is gone isn't asked for what another one can do at once.
func TestPresentLeavesOutSilentHosts(t *testing.T) {
	n := newFakeNetwork("x", "x", "y")
	n.runRounds()
	g := n.hosts["a"]
	qt.Check(t, g.Present().Hosts, qt.HasLen, 3)
	version := g.Present().Version
	g.seenAgo("b", presentWindow)
	qt.Check(t, g.Present().Hosts, qt.HasLen, 2)
	qt.Check(t, g.Present().Version > version, qt.IsTrue)
	qt.Check(t, g.Sharers().Hosts, qt.HasLen, 3)
}

// Each round of a large fleet contacts every other failure domain. A domain that is left
// out of some rounds by chance counts as out of contact, and its part of every limit isn't
// sold.
func TestEachRoundContactsEveryDomain(t *testing.T) {
	var domains []topology.Domain
	for range 20 {
		domains = append(domains, "x", "y", "z")
	}
	n := newFakeNetwork(domains...)
	for range 10 {
		n.runRounds()
	}
	g := n.hosts["a"]
	g.opts.ContactDomains = true
	for range 200 {
		contacted := map[topology.Domain]bool{}
		selected := g.selectPeers()
		for _, id := range selected {
			contacted[g.hosts[id].host.Domain] = true
		}
		qt.Assert(t, selected, qt.HasLen, largeFleetFanout)
		qt.Assert(t, contacted["y"] && contacted["z"], qt.IsTrue)
	}
}
