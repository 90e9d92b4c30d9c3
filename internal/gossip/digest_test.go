package gossip

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Hosts of different versions must compute the same checksum of the same state. Otherwise
// they send each other their whole lists in every message.
func TestChecksumIsThatOfEarlierVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOf(rapid.Map(rapid.StringMatching(`[a-z0-9.:]{1,20}`), func(s string) topology.HostID { return topology.HostID(s) })).Draw(t, "hosts")
		var claims []duty.Claim
		for i, n := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}).Draw(t, "groups") {
			claims = append(claims, duty.Claim{Group: topology.GroupID(fmt.Sprint("group-", n)), Token: rapid.Uint64().Draw(t, "token"), Released: i%3 == 0, Update: rapid.Uint64().Draw(t, "update")})
		}
		sorted := slices.Sorted(slices.Values(hosts))
		var earlier xxhash.Digest
		for _, h := range sorted {
			_, _ = earlier.WriteString(string(h) + "\n")
		}
		for _, c := range slices.SortedFunc(slices.Values(claims), compareGroups) {
			_, _ = fmt.Fprintf(&earlier, "%s %d %t %d\n", c.Group, c.Token, c.Released, c.Update)
		}
		if got := checksum(hashHosts(slices.Clone(hosts)), claims); got != earlier.Sum64() {
			t.Fatalf("%x, want %x", got, earlier.Sum64())
		}
	})
}

// The list of hosts in digests is kept between changes. It must follow each of them.
func TestAnnouncedHostsFollowChanges(t *testing.T) {
	n := newLargeFakeNetwork()
	g := n.hosts["a"]
	announced := func() []topology.HostID {
		d := g.buildDigest("b")
		if d.Hosts == nil {
			d.Hosts = g.announced // omitted, as b has the same
		}
		return slices.Sorted(slices.Values(d.Hosts))
	}
	qt.Check(t, announced(), qt.HasLen, largeFleetHosts-1)
	sum := g.buildDigest("b").Sum
	for _, k := range g.hosts {
		k.lastHeard, k.lastReported = k.lastHeard.Add(-2*livenessTimeout), k.lastReported.Add(-2*livenessTimeout)
	}
	g.selectPeers() // notes that they are silent
	qt.Check(t, announced(), qt.HasLen, 0)
	qt.Check(t, g.buildDigest("b").Sum, qt.Not(qt.Equals), sum)
	n.hosts["b"].exchange(t.Context(), "a")
	qt.Check(t, slices.Contains(announced(), "b"), qt.IsTrue)
	g.exchange(t.Context(), "b") // b reports to have heard from a part of the others
	qt.Check(t, len(announced()) > 1, qt.IsTrue)
	for _, id := range announced() {
		qt.Check(t, g.hosts[id].silent, qt.IsFalse)
	}
}

// Hosts must agree on the list of hosts soon after they start, as long as they differ it is
// in every message. A host that is dead must still leave all lists.
func TestHostsAgreeOnListsBeforeTheyHearFromAll(t *testing.T) {
	// The rounds must take less than livenessTimeout: with 120 hosts, which took 30 s beside
	// other work, hosts counted each other as silent.
	const hosts = 48
	var domains []topology.Domain
	for i := range hosts {
		domains = append(domains, topology.Domain([]string{"north", "south", "coast"}[i%3]))
	}
	n := newFakeNetwork(domains...)
	rounds := func(count int) {
		for range count {
			for id, g := range n.hosts {
				for _, other := range g.selectPeers() {
					if !n.partitioned[id] {
						g.exchange(t.Context(), other)
					}
				}
			}
		}
	}
	rounds(12) // in 3.6 s
	heard, agreeing := 0, 0
	for _, g := range n.hosts {
		heard += len(liveIDs(g))
		if len(g.announcedHosts()) == len(domains)-1 {
			agreeing++
		}
	}
	t.Logf("hosts have heard from %d others on average, %d of %d name all others", heard/len(domains), agreeing, len(domains))
	qt.Check(t, agreeing >= len(domains)*9/10, qt.IsTrue)
	n.partitioned["z"] = true
	for range 30 { // 9 s
		n.ageAllHosts(roundInterval)
		rounds(1)
	}
	for id, g := range n.hosts {
		if id != "z" {
			qt.Check(t, slices.Contains(g.announcedHosts(), "z"), qt.IsFalse)
		}
	}
}

// Two hosts that know the same claim with different electorates would otherwise omit it from
// their digests as known.
func TestChecksumTellsElectoratesApart(t *testing.T) {
	claim := duty.Claim{Group: "g", Holder: "a", Token: 1}
	sums := map[uint64]bool{}
	for epoch := range uint64(3) {
		claim.Electorate.Epoch = epoch
		sums[checksum(hashHosts(nil), []duty.Claim{claim})] = true
	}
	qt.Check(t, sums, qt.HasLen, 3)
}
