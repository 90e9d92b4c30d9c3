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

func at(offset uint64) topology.Position { return topology.Position{Term: 1, Offset: offset} }

// threeTargets is a group whose primary is t0. The replicas have applied 10
// and were 100 ms behind when seen 5 ms ago; t1 is near.
func threeTargets() GroupView {
	v := GroupView{Term: 1, Primary: "t0"}
	for i := range 3 {
		id := topology.TargetID(fmt.Sprintf("t%d", i))
		v.Candidates = append(v.Candidates, Candidate{
			Target:  topology.Target{ID: id, Slots: 2},
			Holders: []Holder{{Host: topology.HostID(id + "-a")}, {Host: topology.HostID(id + "-b")}},
			Near:    i == 1,
			Known:   true,
			Applied: at(10),
			Lag:     100 * time.Millisecond,
			SeenAgo: 5 * time.Millisecond,
		})
	}
	return v
}

func TestReadGoesToAReplicaUnlessThereIsAReason(t *testing.T) {
	read := Ask{Class: pool.Read, Floor: at(10), FloorAge: unknownAge, Slot: anySlot}
	for _, c := range []struct {
		name   string
		change func(*Ask, *Candidate)
		first  topology.TargetID
		reason Reason
	}{
		{"near replica first", func(*Ask, *Candidate) {}, "t1", ""},
		{"behind the floor", func(a *Ask, _ *Candidate) { a.Floor = at(11) }, "t0", BehindFloor},
		{"behind the floor some time ago", func(a *Ask, c *Candidate) { a.Floor = at(11); c.SeenAgo = floorRecheck }, "t1", ""},
		{"behind by more than the floor's age", func(a *Ask, c *Candidate) {
			a.Floor, a.FloorAge = at(11), 99*time.Millisecond
			c.SeenAgo, c.Behind = floorRecheck, 100*time.Millisecond
		}, "t0", BehindFloor},
		{"too old", func(a *Ask, _ *Candidate) { a.MaxStaleness = 50 * time.Millisecond }, "t0", TooStale},
		{"perhaps too old by now", func(a *Ask, _ *Candidate) { a.MaxStaleness = 101 * time.Millisecond }, "t1", ""},
		{"failed", func(_ *Ask, c *Candidate) { c.Down = true }, "t0", Unhealthy},
		{"holders gone", func(_ *Ask, c *Candidate) { c.Holders = []Holder{{Gone: true}, {Gone: true}} }, "t0", Unhealthy},
		{"leaving", func(_ *Ask, c *Candidate) { c.Target.Leaving = true }, "t0", Unhealthy},
		{"never seen", func(_ *Ask, c *Candidate) { *c = Candidate{Target: c.Target, Holders: c.Holders, Near: c.Near} }, "t1", ""},
		{"no holder", func(_ *Ask, c *Candidate) { c.Holders = nil }, "t0", NoReplica},
	} {
		ask, view := read, threeTargets()
		for i := range view.Candidates[1:] {
			c.change(&ask, &view.Candidates[1+i])
		}
		d := Choose(ask, view)
		qt.Check(t, d.Tries[0].Target, qt.Equals, c.first, qt.Commentf(c.name))
		qt.Check(t, d.Reason, qt.Equals, c.reason, qt.Commentf(c.name))
	}
}

func TestARepeatedStatusDoesNotKeepAReplicaBehind(t *testing.T) {
	k := NewKnowledge()
	now := time.Unix(1000, 0)
	hint := pool.Hint{Status: target.Status{Target: "t1", Role: target.Replica, Applied: at(10)}}
	for range 5 {
		k.Learn(hint, now)
		now = now.Add(floorRecheck / 2)
	}
	qt.Assert(t, now.Sub(k.Targets["t1"].At) >= floorRecheck, qt.IsTrue)
	k.LearnFailure("t1", result.BehindFloor, now)
	qt.Assert(t, k.Targets["t1"].At, qt.Equals, now)
}

func TestLagIsMeasuredWhenAFloorIsRefused(t *testing.T) {
	k := NewKnowledge()
	start := time.Unix(1000, 0)
	for i := range uint64(10) {
		k.Hear(at(i), start.Add(time.Duration(i)*10*time.Millisecond))
	}
	now := start.Add(100 * time.Millisecond)
	k.Learn(pool.Hint{Status: target.Status{Target: "t1", Role: target.Replica, Applied: at(4)}}, now)
	qt.Assert(t, k.Targets["t1"].lag(now), qt.Equals, time.Duration(0))
	k.LearnFailure("t1", result.BehindFloor, now)
	qt.Assert(t, k.Targets["t1"].lag(now), qt.Equals, 50*time.Millisecond) // it lacks 5, heard of then
	qt.Assert(t, k.Targets["t1"].lag(now.Add(behindFor+1)), qt.Equals, time.Duration(0))
	age, known := k.FloorAge(at(8), now)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 20*time.Millisecond)
	_, known = k.FloorAge(at(10), now)
	qt.Assert(t, known, qt.IsFalse)
}

func TestRemainingTriesAfterARefusal(t *testing.T) {
	first, second, primary := Try{Target: "t1", Replica: true}, Try{Target: "t1", Slot: 1, Replica: true}, Try{Target: "t0"}
	stale := Try{Target: "t1", Replica: true, ServeStale: true}
	for code, want := range map[result.Code][]Try{
		result.NotHolder:       {second, primary, stale},
		result.BehindFloor:     {primary},
		result.TooStale:        {primary, stale},
		result.ReadOnlyTarget:  {primary},
		result.HostUnreachable: {primary, second, stale},
	} {
		got := remaining([]Try{second, primary, stale}, first, code)
		qt.Check(t, got, qt.DeepEquals, want, qt.Commentf("%d", code))
	}
}

func TestStaleReplicasServeOnlyWhereAllowedAndLast(t *testing.T) {
	ask := Ask{Class: pool.Read, Slot: anySlot, MaxStaleness: time.Millisecond}
	qt.Assert(t, Choose(ask, threeTargets()).Tries, qt.HasLen, 2)
	ask.ServeStale = true
	tries := Choose(ask, threeTargets()).Tries
	qt.Assert(t, tries[0].Target, qt.Equals, topology.TargetID("t0"))
	qt.Assert(t, tries[2].ServeStale, qt.IsTrue)
	view := threeTargets()
	view.Candidates[0].Down = true
	qt.Assert(t, Choose(ask, view).Tries[0].Replica, qt.IsTrue)
}

func TestChoicesKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ask := Ask{
			Class:        rapid.SampledFrom([]pool.Class{pool.Write, pool.Read}).Draw(t, "class"),
			ReadOnly:     rapid.Bool().Draw(t, "read only"),
			Floor:        at(rapid.Uint64Range(0, 20).Draw(t, "floor")),
			MaxStaleness: time.Duration(rapid.IntRange(0, 300).Draw(t, "bound")) * time.Millisecond,
			ServeStale:   rapid.Bool().Draw(t, "serve"),
			Slot:         rapid.IntRange(anySlot, 1).Draw(t, "slot"),
			Draw:         rapid.Uint64().Draw(t, "draw"),
		}
		view := threeTargets()
		for i := range view.Candidates {
			c := &view.Candidates[i]
			c.Applied = at(rapid.Uint64Range(0, 20).Draw(t, "applied"))
			c.SeenAgo = time.Duration(rapid.IntRange(0, 300).Draw(t, "seen")) * time.Millisecond
			c.Down = rapid.Bool().Draw(t, "down")
			c.Target.Leaving = rapid.Bool().Draw(t, "leaving")
		}
		for _, try := range Choose(ask, view).Tries {
			checkTry(t, ask, view, try)
		}
	})
}

func checkTry(t *rapid.T, ask Ask, view GroupView, try Try) {
	if try.Replica == (try.Target == view.Primary) {
		t.Fatalf("%+v: wrong role", try)
	}
	if try.Replica && try.Class == pool.Write {
		t.Fatalf("%+v: a write at a replica", try)
	}
	if try.Class == pool.Write && ask.Slot != anySlot && try.Slot != ask.Slot {
		t.Fatalf("%+v: a write outside the session's slot %d", try, ask.Slot)
	}
	if try.ServeStale && !ask.ServeStale {
		t.Fatalf("%+v: staleness waived", try)
	}
	if ask.Class == pool.Read && !ask.ReadOnly && !ask.ServeStale && !try.Replica && try.Class != pool.Write {
		t.Fatalf("%+v: an undeclared read at the primary that isn't treated as a write", try)
	}
	for _, c := range view.Candidates {
		if c.Target.ID != try.Target || !try.Replica {
			continue
		}
		if c.Target.Leaving || floorFitness(ask, c) == behind {
			t.Fatalf("%+v: a replica that leaves or is behind", try)
		}
	}
}
