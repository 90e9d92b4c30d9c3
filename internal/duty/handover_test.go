package duty

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Ranks are a permutation of the hosts, with the hosts in the primary's failure
// domain last.
func TestHostsInPrimaryDomainRankLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []topology.Domain{"north", "south", "coast"}
		var live []topology.Host
		for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
			id := topology.HostID(rune('a' + i))
			live = append(live, topology.Host{ID: id, Domain: rapid.SampledFrom(domains).Draw(t, "domain")})
		}
		primary := rapid.SampledFrom(append(domains, "")).Draw(t, "primary's")
		outside, _ := splitByDomain(live, primary)
		seen := map[int]bool{}
		for _, h := range live {
			n := electionRank("g", h.ID, live, primary)
			if n < 0 || n >= len(live) || seen[n] {
				t.Fatalf("%s of %d hosts has rank %d", h.ID, len(live), n)
			}
			seen[n] = true
			if inside := primary != "" && h.Domain == primary; inside == (n < len(outside)) {
				t.Fatalf("%s in %s has rank %d, %d hosts are outside %s", h.ID, h.Domain, n, len(outside), primary)
			}
		}
	})
}

func TestDutyIsHandedOverOnlyWhenStable(t *testing.T) {
	stable := handOverState{inPrimaryDomain: true, hostsOutside: 4, connected: true, heldFor: minHoldTime}
	qt.Check(t, shouldHandOver(stable), qt.IsTrue)
	for name, change := range map[string]func(*handOverState){
		"outside the primary's failure domain": func(s *handOverState) { s.inPrimaryDomain = false },
		"no host in another failure domain":    func(s *handOverState) { s.hostsOutside = 0 },
		"partitioned":                          func(s *handOverState) { s.connected = false },
		"acquired recently":                    func(s *handOverState) { s.heldFor = minHoldTime - 1 },
		"a request may be in flight":           func(s *handOverState) { s.hasRequested, s.sinceRequest = true, keepAfterRequest-1 },
	} {
		s := stable
		change(&s)
		qt.Check(t, shouldHandOver(s), qt.IsFalse, qt.Commentf(name))
	}
}

// Guards against losing a primary and the holder of its group's duty in one outage
// of their common failure domain.
func TestHolderInPrimaryDomainReleasesDuty(t *testing.T) {
	store := &fakeStore{}
	hosts := &domainHosts{fakeHosts{connected: true}}
	k := New(Options{
		Self: "a", Name: "host-a", Boot: 1, Store: store, Hosts: hosts, Log: logr.Discard(), OnChange: func(topology.GroupID) {},
		Domain: "north", PrimaryDomain: func(topology.GroupID) topology.Domain { return "north" },
	})
	k.SetGroups([]topology.GroupID{"g"})
	qt.Assert(t, k.writeClaim(context.Background(), Claim{Group: "g"}), qt.IsNil)
	later := steady.Now().Add(minHoldTime)
	qt.Check(t, k.claimsToHandOver(later.Add(-time.Second)), qt.HasLen, 0)
	list := k.claimsToHandOver(later)
	qt.Assert(t, list, qt.HasLen, 1)
	k.handOver(context.Background(), list[0])
	_, mine := k.Token("g")
	qt.Check(t, mine, qt.IsFalse)
	qt.Check(t, k.dueClaims(later), qt.HasLen, 0, qt.Commentf("the host must give other hosts time to acquire the duty"))
}

// domainHosts has host a and a second host in another failure domain.
type domainHosts struct{ fakeHosts }

func (h *domainHosts) Live() []topology.Host {
	return []topology.Host{{ID: "a", Domain: "north"}, {ID: "b", Domain: "south"}}
}
