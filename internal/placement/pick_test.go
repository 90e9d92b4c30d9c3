package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

var (
	now        = time.Unix(1_000_000, 0)
	seededIntN = rand.New(rand.NewPCG(1, 2)).IntN
)

func offer(host topology.HostID, near bool, idle, leaderIdle int) Offer {
	return Offer{Host: host, SameDomain: near, Leads: true, Load: Load{Idle: idle, LeaderIdle: leaderIdle}, RequestedAt: now}
}

func countPicks(offers []Offer, need Requirements) map[topology.HostID]int {
	picked := map[topology.HostID]int{}
	for range 1000 {
		if o, ok := Pick(offers, need, seededIntN); ok {
			picked[o.Host]++
		}
	}
	return picked
}

func TestPickPrefersFreeThenNear(t *testing.T) {
	offers := []Offer{offer("near-full", true, 0, 0), offer("near-free", true, 2, 2), offer("far-free", false, 9, 9)}
	qt.Check(t, countPicks(offers, Requirements{}), qt.DeepEquals, map[topology.HostID]int{"near-free": 1000})
	qt.Check(t, countPicks(offers, Requirements{Exclude: []topology.HostID{"near-free"}}), qt.DeepEquals, map[topology.HostID]int{"far-free": 1000})
	full := []Offer{offers[0], offer("far-full", false, -3, -3)}
	qt.Check(t, countPicks(full, Requirements{}), qt.DeepEquals, map[topology.HostID]int{"near-full": 1000})
	qt.Check(t, countPicks(full, Requirements{FreeOnly: true}), qt.HasLen, 0)
}

func TestPickForLeader(t *testing.T) {
	replicas := offer("replicas", true, 6, 0)
	replicas.Leads = false
	offers := []Offer{replicas, offer("leader-taken", true, 6, 0), offer("leader-free", false, 1, 1)}
	qt.Check(t, countPicks(offers, Requirements{NeedsLeader: true}), qt.DeepEquals, map[topology.HostID]int{"leader-free": 1000})
}

// Hosts that know the same loads must not all choose the same host.
func TestPickSpreadsLoad(t *testing.T) {
	offers := []Offer{offer("a", true, 3, 3), offer("b", true, 3, 3), offer("c", true, 3, 3), offer("d", true, 2, 2)}
	picked := countPicks(offers, Requirements{})
	for _, host := range []topology.HostID{"a", "b", "c"} {
		qt.Check(t, picked[host] > 200, qt.IsTrue, qt.Commentf("%v", picked))
	}
}

func TestPlannedHoldersShareLoad(t *testing.T) {
	var offers []Offer
	for _, host := range []topology.HostID{"a", "b", "c", "d"} {
		offers = append(offers, Offer{Host: host, Leads: true})
	}
	picked := countPicks(offers, Requirements{NeedsLeader: true})
	for host, n := range picked {
		qt.Check(t, n < 350, qt.IsTrue, qt.Commentf("%s %d", host, n))
	}
}
