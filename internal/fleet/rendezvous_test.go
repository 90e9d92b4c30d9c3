package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

func fleetOf(n, domains int) []topology.Host {
	hosts := make([]topology.Host, n)
	for i := range hosts {
		hosts[i] = topology.Host{
			ID:     topology.HostID(fmt.Sprintf("host-%d", i)),
			Domain: topology.Domain(fmt.Sprintf("domain-%d", i%domains)),
			State:  topology.HostLive,
		}
	}
	return hosts
}

func drawFleet(t *rapid.T) []topology.Host {
	hosts := fleetOf(rapid.IntRange(1, 12).Draw(t, "hosts"), rapid.IntRange(1, 3).Draw(t, "domains"))
	for i := range hosts {
		hosts[i].State = rapid.SampledFrom([]topology.HostState{topology.HostLive, topology.HostLive, topology.HostLeaving, topology.HostGone}).Draw(t, "state")
	}
	return hosts
}

func drawTarget(t *rapid.T, slots int) topology.Target {
	return topology.Target{
		ID:     topology.TargetID(fmt.Sprintf("target-%d", rapid.IntRange(0, 999).Draw(t, "target"))),
		Domain: topology.Domain(fmt.Sprintf("domain-%d", rapid.IntRange(0, 2).Draw(t, "target domain"))),
		Slots:  slots,
	}
}

func TestHoldersAreDistinctLiveHostsOfTheDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawFleet(t)
		target := drawTarget(t, rapid.IntRange(1, 4).Draw(t, "slots"))
		live := func(h topology.Host) bool { return h.State == topology.HostLive }
		inDomain := func(h topology.Host) bool { return h.Domain == target.Domain }
		suspectedInDomain := func(h topology.Host) bool { return inDomain(h) && h.State == topology.HostGone }
		allowed := idsOf(hosts, func(h topology.Host) bool { return inDomain(h) && live(h) })
		if len(allowed) == 0 {
			allowed = idsOf(hosts, suspectedInDomain)
		}
		if len(allowed) == 0 {
			allowed = idsOf(hosts, live)
		}
		holders := Holders(target, hosts)
		if len(allowed) == 0 {
			if holders != nil {
				t.Fatalf("holders %v of a fleet without live hosts", holders)
			}
			return
		}
		if len(holders) != target.Slots {
			t.Fatalf("%d holders of %d slots", len(holders), target.Slots)
		}
		distinct := map[topology.HostID]bool{}
		for _, h := range holders {
			if !slices.Contains(allowed, h) {
				t.Fatalf("holder %s isn't one of %v", h, allowed)
			}
			distinct[h] = true
		}
		if want := min(target.Slots, len(allowed)); len(distinct) < want {
			t.Fatalf("holders %v, want %d distinct ones", holders, want)
		}
	})
}

func idsOf(hosts []topology.Host, keep func(topology.Host) bool) []topology.HostID {
	var ids []topology.HostID
	for _, h := range hosts {
		if keep(h) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

func TestLossOfAHostMovesOnlyItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawFleet(t)
		target := drawTarget(t, 2)
		before := Holders(target, hosts)
		lost := rapid.IntRange(0, len(hosts)-1).Draw(t, "lost")
		after := Holders(target, slices.Delete(slices.Clone(hosts), lost, lost+1))
		for slot := range after {
			if before[slot] != hosts[lost].ID && after[slot] != before[slot] {
				t.Fatalf("slot %d moved from %s to %s when %s died", slot, before[slot], after[slot], hosts[lost].ID)
			}
		}
	})
}

func TestHeldByAgreesWithHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawFleet(t)
		index := NewIndex(hosts)
		target := drawTarget(t, 2)
		var slots int
		for _, h := range hosts {
			slots += len(index.HeldBy(h, []topology.Target{target}))
		}
		if want := len(index.Holders(target)); slots != want {
			t.Fatalf("%d slots held, want %d", slots, want)
		}
	})
}

func TestSlotsSpreadEvenly(t *testing.T) {
	index := NewIndex(fleetOf(10, 1))
	counts := map[topology.HostID]int{}
	const targets = 10000
	for i := range targets {
		for _, h := range index.Holders(topology.Target{ID: topology.TargetID(fmt.Sprint(i)), Domain: "domain-0", Slots: 2}) {
			counts[h]++
		}
	}
	for h, n := range counts {
		qt.Check(t, n > 1800 && n < 2200, qt.IsTrue, qt.Commentf("%s holds %d, the mean is 2000", h, n))
	}
}

// The fleet size that the design targets: 4,500 hosts in 10 failure domains.
const (
	designHosts   = 4500
	designDomains = 10
	designTargets = 42000
)

func designTarget(i int) topology.Target {
	return topology.Target{
		ID:     topology.TargetID(fmt.Sprintf("target-%d", i)),
		Domain: topology.Domain(fmt.Sprintf("domain-%d", i%designDomains)),
		Slots:  2,
	}
}

func BenchmarkHolders(b *testing.B) {
	index := NewIndex(fleetOf(designHosts, designDomains))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		index.Holders(designTarget(i % designTargets))
	}
}

func BenchmarkNewIndex(b *testing.B) {
	hosts := fleetOf(designHosts, designDomains)
	b.ReportAllocs()
	for b.Loop() {
		NewIndex(hosts)
	}
}

// BenchmarkLeaveAndReturn measures a host that leaves and comes back, without HeldBy.
func BenchmarkLeaveAndReturn(b *testing.B) {
	hosts := fleetOf(designHosts, designDomains)
	t := NewTracker(hosts[0], logr.Discard())
	t.Apply(hosts)
	b.ReportAllocs()
	for b.Loop() {
		t.NoteLeaving(hosts[1].ID)
		t.update(func(m *Members) bool { m.Hello(hosts[1], time.Now()); return true })
	}
}

// BenchmarkReport measures the report of a successful call, as after each request.
func BenchmarkReport(b *testing.B) {
	hosts := fleetOf(designHosts, designDomains)
	t := NewTracker(hosts[0], logr.Discard())
	t.Apply(hosts)
	for b.Loop() {
		t.RecordCall(hosts[1].ID, true)
	}
}

// BenchmarkHeldBy measures HeldBy for the first time after a change of the hosts,
// and again with cached holders, as after other changes of the configuration.
func BenchmarkHeldBy(b *testing.B) {
	hosts := fleetOf(designHosts, designDomains)
	targets := make([]topology.Target, designTargets)
	for i := range targets {
		targets[i] = designTarget(i)
	}
	b.Run("first", func(b *testing.B) {
		index := NewIndex(hosts)
		for b.Loop() {
			index.HeldBy(hosts[0], targets)
		}
	})
	b.Run("again", func(b *testing.B) {
		t := NewTracker(hosts[0], logr.Discard())
		t.Apply(hosts)
		for b.Loop() {
			t.HeldBy(hosts[0].ID, targets)
		}
	})
}
