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

// Ranks are a permutation of the hosts, with those beside the primary last.
func TestHostsBesideThePrimaryRankLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []topology.Domain{"north", "south", "coast"}
		var live []topology.Host
		for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
			id := topology.HostID(rune('a' + i))
			live = append(live, topology.Host{ID: id, Domain: rapid.SampledFrom(domains).Draw(t, "domain")})
		}
		primary := rapid.SampledFrom(append(domains, "")).Draw(t, "primary's")
		apart, _ := split(live, primary)
		seen := map[int]bool{}
		for _, h := range live {
			n := rank("g", h.ID, live, primary)
			if n < 0 || n >= len(live) || seen[n] {
				t.Fatalf("%s of %d hosts has rank %d", h.ID, len(live), n)
			}
			seen[n] = true
			if beside := primary != "" && h.Domain == primary; beside == (n < len(apart)) {
				t.Fatalf("%s in %s has rank %d, %d hosts are outside %s", h.ID, h.Domain, n, len(apart), primary)
			}
		}
	})
}

func TestADutyIsHandedOverOnlyInCalm(t *testing.T) {
	calm := tenure{beside: true, apart: 4, connected: true, heldFor: handOverAfter}
	qt.Check(t, handsOver(calm), qt.IsTrue)
	for name, change := range map[string]func(*tenure){
		"apart from the primary":    func(s *tenure) { s.beside = false },
		"nobody else could":         func(s *tenure) { s.apart = 0 },
		"cut off":                   func(s *tenure) { s.connected = false },
		"taken a short while ago":   func(s *tenure) { s.heldFor = handOverAfter - 1 },
		"an order may be under way": func(s *tenure) { s.ordered, s.orderAgo = true, restAfterOrder-1 },
	} {
		s := calm
		change(&s)
		qt.Check(t, handsOver(s), qt.IsFalse, qt.Commentf(name))
	}
}

// The primary and the holder of its duty were lost with one failure domain.
func TestAHolderBesideThePrimaryGivesTheDutyUp(t *testing.T) {
	store := &fakeStore{}
	hosts := &domainHosts{fakeHosts{connected: true}}
	k := New(Options{
		Self: "a", Name: "host-a", Boot: 1, Store: store, Hosts: hosts, Log: logr.Discard(), Changed: func() {},
		Domain: "north", PrimaryDomain: func(topology.GroupID) topology.Domain { return "north" },
	})
	k.SetGroups([]topology.GroupID{"g"})
	qt.Assert(t, k.override(context.Background(), Claim{Group: "g"}), qt.IsNil)
	later := steady.Now().Add(handOverAfter)
	qt.Check(t, k.misplaced(later.Add(-time.Second)), qt.HasLen, 0)
	list := k.misplaced(later)
	qt.Assert(t, list, qt.HasLen, 1)
	k.handOver(context.Background(), list[0])
	_, mine := k.Token("g")
	qt.Check(t, mine, qt.IsFalse)
	qt.Check(t, k.due(later), qt.HasLen, 0, qt.Commentf("it leaves time for the others"))
}

// domainHosts has one host beside a in another domain.
type domainHosts struct{ fakeHosts }

func (h *domainHosts) Live() []topology.Host {
	return []topology.Host{{ID: "a", Domain: "north"}, {ID: "b", Domain: "south"}}
}
