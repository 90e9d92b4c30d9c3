package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func pos(offset uint64) topology.Position { return topology.Position{Term: 1, Offset: offset} }

// threeTargets returns a group with primary t0. The replicas have applied
// position 10, and 5 ms ago their data was at most 100 ms old. t1 is in this
// host's failure domain.
func threeTargets() GroupView {
	v := GroupView{Term: 1, Primary: "t0"}
	for i := range 3 {
		id := topology.TargetID(fmt.Sprintf("t%d", i))
		v.Candidates = append(v.Candidates, Candidate{
			Target:        topology.Target{ID: id, Slots: 2},
			Holders:       []Holder{{Host: topology.HostID(id + "-a")}, {Host: topology.HostID(id + "-b")}},
			Near:          i == 1,
			StatusKnown:   true,
			Applied:       pos(10),
			LagUpperBound: 100 * time.Millisecond,
			StatusAge:     5 * time.Millisecond,
		})
	}
	return v
}

func TestChooseReadPrefersReplica(t *testing.T) {
	read := Criteria{Class: pool.Read, Floor: pos(10), FloorAge: unknownAge, Slot: anySlot}
	for _, c := range []struct {
		name       string
		change     func(*Criteria, *Candidate)
		wantTarget topology.TargetID
		wantReason Reason
	}{
		{"near replica first", func(*Criteria, *Candidate) {}, "t1", ""},
		{"behind the floor", func(crit *Criteria, _ *Candidate) { crit.Floor = pos(11) }, "t0", BehindFloor},
		{"behind the floor, outdated status", func(crit *Criteria, c *Candidate) { crit.Floor = pos(11); c.StatusAge = floorRecheckDelay }, "t1", ""},
		{"behind by more than the floor's age", func(crit *Criteria, c *Candidate) {
			crit.Floor, crit.FloorAge = pos(11), 99*time.Millisecond
			c.StatusAge, c.LagLowerBound = floorRecheckDelay, 100*time.Millisecond
		}, "t0", BehindFloor},
		{"too old", func(crit *Criteria, _ *Candidate) { crit.MaxStaleness = 50 * time.Millisecond }, "t0", TooStale},
		{"possibly too old", func(crit *Criteria, _ *Candidate) { crit.MaxStaleness = 101 * time.Millisecond }, "t1", ""},
		{"failed", func(_ *Criteria, c *Candidate) { c.RecentlyFailed = true }, "t0", Unhealthy},
		{"holders unreachable", func(_ *Criteria, c *Candidate) { c.Holders = []Holder{{Unreachable: true}, {Unreachable: true}} }, "t0", Unhealthy},
		{"leaving", func(_ *Criteria, c *Candidate) { c.Target.Leaving = true }, "t0", Unhealthy},
		{"unknown status", func(_ *Criteria, c *Candidate) { *c = Candidate{Target: c.Target, Holders: c.Holders, Near: c.Near} }, "t1", ""},
		{"no holder", func(_ *Criteria, c *Candidate) { c.Holders = nil }, "t0", NoReplica},
	} {
		criteria, view := read, threeTargets()
		for i := range view.Candidates[1:] {
			c.change(&criteria, &view.Candidates[1+i])
		}
		decision := Choose(criteria, view)
		qt.Check(t, decision.Destinations[0].Target, qt.Equals, c.wantTarget, qt.Commentf(c.name))
		qt.Check(t, decision.Reason, qt.Equals, c.wantReason, qt.Commentf(c.name))
	}
}

func TestRepeatedStatusDoesNotResetCheckTime(t *testing.T) {
	observations := NewObservations()
	now := time.Unix(1000, 0)
	hint := pool.Hint{Status: target.Status{Target: "t1", Role: target.Replica, Applied: pos(10)}}
	for range 5 {
		observations.ObserveHint(hint, now)
		now = now.Add(floorRecheckDelay / 2)
	}
	qt.Assert(t, now.Sub(observations.Targets["t1"].CheckedAt) >= floorRecheckDelay, qt.IsTrue)
	observations.ObserveFailure("t1", result.BehindFloor, now)
	qt.Assert(t, observations.Targets["t1"].CheckedAt, qt.Equals, now)
}

func TestBehindFloorRefusalUpdatesLagLowerBound(t *testing.T) {
	observations := NewObservations()
	start := time.Unix(1000, 0)
	for i := range uint64(10) {
		observations.ObservePosition(pos(i), start.Add(time.Duration(i)*10*time.Millisecond))
	}
	now := start.Add(100 * time.Millisecond)
	observations.ObserveHint(pool.Hint{Status: target.Status{Target: "t1", Role: target.Replica, Applied: pos(4)}}, now)
	qt.Assert(t, observations.Targets["t1"].lagLowerBound(now), qt.Equals, time.Duration(0))
	observations.ObserveFailure("t1", result.BehindFloor, now)
	qt.Assert(t, observations.Targets["t1"].lagLowerBound(now), qt.Equals, 50*time.Millisecond) // position 5 is the first one that it lacks; it was recorded 50 ms ago
	qt.Assert(t, observations.Targets["t1"].lagLowerBound(now.Add(lagBoundTTL+1)), qt.Equals, time.Duration(0))
	age, known := observations.FloorAge(pos(8), now)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 20*time.Millisecond)
	_, known = observations.FloorAge(pos(10), now)
	qt.Assert(t, known, qt.IsFalse)
}

func TestRemainingDestinationsAfterRefusal(t *testing.T) {
	first, second, primary := Destination{Target: "t1", Replica: true}, Destination{Target: "t1", Slot: 1, Replica: true}, Destination{Target: "t0"}
	stale := Destination{Target: "t1", Replica: true, ServeStale: true}
	for code, want := range map[result.Code][]Destination{
		result.NotHolder:       {second, primary, stale},
		result.BehindFloor:     {primary},
		result.TooStale:        {primary, stale},
		result.ReadOnlyTarget:  {primary},
		result.HostUnreachable: {primary, second, stale},
	} {
		got := remainingDestinations([]Destination{second, primary, stale}, first, code)
		qt.Check(t, got, qt.DeepEquals, want, qt.Commentf("%d", code))
	}
}

func TestStaleReplicasServeOnlyAsAllowedFallback(t *testing.T) {
	criteria := Criteria{Class: pool.Read, Slot: anySlot, MaxStaleness: time.Millisecond}
	qt.Assert(t, Choose(criteria, threeTargets()).Destinations, qt.HasLen, 2)
	criteria.ServeStale = true
	destinations := Choose(criteria, threeTargets()).Destinations
	qt.Assert(t, destinations[0].Target, qt.Equals, topology.TargetID("t0"))
	qt.Assert(t, destinations[2].ServeStale, qt.IsTrue)
	view := threeTargets()
	view.Candidates[0].RecentlyFailed = true
	qt.Assert(t, Choose(criteria, view).Destinations[0].Replica, qt.IsTrue)
}

func TestChooseInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		criteria := Criteria{
			Class:        rapid.SampledFrom([]pool.Class{pool.Write, pool.Read}).Draw(t, "class"),
			ReadOnly:     rapid.Bool().Draw(t, "read only"),
			Floor:        pos(rapid.Uint64Range(0, 20).Draw(t, "floor")),
			MaxStaleness: time.Duration(rapid.IntRange(0, 300).Draw(t, "max staleness")) * time.Millisecond,
			ServeStale:   rapid.Bool().Draw(t, "serve stale"),
			Slot:         rapid.IntRange(anySlot, 1).Draw(t, "slot"),
			Random:       rapid.Uint64().Draw(t, "random"),
		}
		view := threeTargets()
		for i := range view.Candidates {
			c := &view.Candidates[i]
			c.Applied = pos(rapid.Uint64Range(0, 20).Draw(t, "applied"))
			c.StatusAge = time.Duration(rapid.IntRange(0, 300).Draw(t, "status age")) * time.Millisecond
			c.RecentlyFailed = rapid.Bool().Draw(t, "recently failed")
			c.Target.Leaving = rapid.Bool().Draw(t, "leaving")
		}
		for _, dest := range Choose(criteria, view).Destinations {
			checkDestination(t, criteria, view, dest)
		}
	})
}

func checkDestination(t *rapid.T, criteria Criteria, view GroupView, dest Destination) {
	if dest.Replica == (dest.Target == view.Primary) {
		t.Fatalf("%+v: wrong role", dest)
	}
	if dest.Replica && dest.Class == pool.Write {
		t.Fatalf("%+v: write at a replica", dest)
	}
	if dest.Class == pool.Write && criteria.Slot != anySlot && dest.Slot != criteria.Slot {
		t.Fatalf("%+v: write outside the session's slot %d", dest, criteria.Slot)
	}
	if dest.ServeStale && !criteria.ServeStale {
		t.Fatalf("%+v: staleness limit ignored without permission", dest)
	}
	if criteria.Class == pool.Read && !criteria.ReadOnly && !criteria.ServeStale && !dest.Replica && dest.Class != pool.Write {
		t.Fatalf("%+v: undeclared read at the primary not sent as a write", dest)
	}
	for _, c := range view.Candidates {
		if c.Target.ID != dest.Target || !dest.Replica {
			continue
		}
		if c.Target.Leaving || floorSuitability(criteria, c) == behindFloor {
			t.Fatalf("%+v: replica is leaving or behind the floor", dest)
		}
	}
}
