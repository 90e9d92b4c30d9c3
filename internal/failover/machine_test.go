package failover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const failoverBound = 10 * time.Second // a change of primary is over by then

// simFault brings one drawn fault about.
func simFault(t *rapid.T, s *simulation) {
	ids := make([]string, 0, len(s.targets)+len(s.hosts))
	for _, tg := range s.group.Targets {
		ids = append(ids, string(tg.ID))
	}
	for _, h := range s.hosts {
		ids = append(ids, string(h.id))
	}
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		tg := s.targets[topology.TargetID(rapid.SampledFrom(ids[:len(s.targets)]).Draw(t, "killed"))]
		tg.down = true
	case 1:
		tg := s.targets[topology.TargetID(rapid.SampledFrom(ids[:len(s.targets)]).Draw(t, "restarted"))]
		if tg.down {
			tg.restart()
		}
	case 2:
		h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "paused")]
		s.pause(h, time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause"))*time.Millisecond)
	case 3:
		from := rapid.SampledFrom(ids).Draw(t, "from")
		s.cut[from+">"+rapid.SampledFrom(ids).Draw(t, "to")] = true
	case 4: // one process from everybody
		one := rapid.SampledFrom(ids).Draw(t, "one")
		for _, id := range ids {
			s.cut[one+">"+id], s.cut[id+">"+one] = true, true
		}
	case 5:
		clear(s.cut)
	case 6:
		s.loss = float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100
		s.late = float64(rapid.IntRange(0, 95).Draw(t, "late")) / 100
		s.delay = time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond
	}
}

// Whatever happens, a term has one primary at most and every confirmed write
// is in the log of each later primary; in calm the group has a primary again.
func TestConfirmedWritesSurviveFaultsAndRivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "targets")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"), targets)
		s.run(300 * time.Millisecond)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			simFault(t, s)
			s.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "until next")) * time.Millisecond)
		}
		s.calm()
		s.run(failoverBound)
		if s.broken != nil {
			t.Fatal(s.broken)
		}
		if s.serving() == nil {
			for _, tg := range s.targets {
				t.Logf("%+v", tg.status())
			}
			for _, h := range s.hosts {
				t.Logf("%+v", h.machine.Dump(s.now))
			}
			t.Fatalf("no primary %v after the faults ended", failoverBound)
		}
		before := len(s.confirmed)
		s.run(time.Second)
		if len(s.confirmed) == before {
			t.Fatalf("no write is confirmed although there is a primary")
		}
	})
}

// gapAfter returns how long no write of a term above the first is confirmed,
// and fails if that is above the bound.
func gapAfter(t *testing.T, s *simulation, bound time.Duration) time.Duration {
	start := s.now
	for s.now.Sub(start) < bound {
		s.run(5 * time.Millisecond)
		if n := len(s.confirmed); n > 0 && s.confirmed[n-1].Term > 1 {
			return s.now.Sub(start)
		}
	}
	t.Fatalf("no primary within %v", bound)
	return 0
}

func TestGapStaysWithinItsTarget(t *testing.T) {
	cutFrom := func(s *simulation, others ...string) {
		for _, id := range others {
			s.cut["t0>"+id], s.cut[id+">t0"] = true, true
		}
	}
	for _, test := range []struct {
		name  string
		bound time.Duration
		fault func(*simulation)
	}{
		{"kill", time.Second, func(s *simulation) { s.targets["t0"].down = true }},
		{"restart at once", time.Second, func(s *simulation) { s.targets["t0"].restart() }},
		{"cut from everybody", 1500 * time.Millisecond, func(s *simulation) { cutFrom(s, "t1", "t2", "h0", "h1", "h2") }},
		{"cut from its peers", 1500 * time.Millisecond, func(s *simulation) { cutFrom(s, "t1", "t2") }},
		{"cut of its domain", 1500 * time.Millisecond, func(s *simulation) {
			cutFrom(s, "t1", "t2", "h1", "h2")
			for _, id := range []string{"t1", "t2", "h1", "h2"} {
				s.cut["h0>"+id], s.cut[id+">h0"] = true, true
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(30) {
				s := newSimulation(seed, 3, 3)
				s.run(time.Second + time.Duration(seed)*3*time.Millisecond)
				test.fault(s)
				gapAfter(t, s, test.bound)
				s.run(time.Second)
				qt.Assert(t, s.broken, qt.IsNil)
				qt.Assert(t, len(s.promotions), qt.Equals, 1)
			}
		})
	}
}

// A host that is cut off from a majority neither promotes nor raises terms,
// and does nothing to a healthy primary when it comes back.
func TestHostWithoutMajorityLeavesTermsAlone(t *testing.T) {
	s := newSimulation(1, 3, 3)
	s.run(time.Second)
	for _, id := range []string{"t0", "t1", "h1", "h2"} {
		s.cut["h0>"+id], s.cut[id+">h0"] = true, true
	}
	s.run(30 * time.Second)
	qt.Assert(t, s.hosts[0].machine.CanConfirm(s.now), qt.ErrorMatches, ".*208.*")
	clear(s.cut)
	s.run(200 * time.Millisecond)
	qt.Assert(t, s.hosts[0].machine.CanConfirm(s.now), qt.IsNil)
	s.run(3 * time.Second)
	qt.Assert(t, s.targets["t2"].term, qt.Equals, uint64(1))
	qt.Assert(t, s.calls, qt.Equals, 0)
	qt.Assert(t, s.broken, qt.IsNil)
}

// Whichever answer comes first after a cut, the host asks the others again
// before it changes anything: what it judged the primary by is old.
func TestAHealedHostChangesNothing(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(seed, 3, 3)
		s.run(time.Second)
		for _, id := range []string{"t0", "t1", "h1", "h2"} {
			s.cut["h0>"+id], s.cut[id+">h0"] = true, true
		}
		s.run(2*time.Second + time.Duration(seed)*17*time.Millisecond)
		clear(s.cut)
		s.run(3 * time.Second)
		qt.Assert(t, s.calls, qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}

func TestOldPrimaryFollowsAfterItsReturn(t *testing.T) {
	s := newSimulation(2, 3, 3)
	s.run(time.Second)
	s.targets["t0"].down = true
	gapAfter(t, s, failoverBound)
	s.targets["t0"].restart()
	s.run(2 * time.Second)
	old := s.targets["t0"]
	qt.Assert(t, old.role, qt.Equals, target.Replica)
	qt.Assert(t, old.primary, qt.Equals, s.serving().id)
	qt.Assert(t, old.has(s.confirmed[len(s.confirmed)-10]), qt.IsTrue)
}

// A leaving primary hands over without losing an entry, confirmed or not.
func TestPlannedMoveLosesNothing(t *testing.T) {
	for seed := range uint64(30) {
		s := newSimulation(seed, 3, 3)
		s.late = 0.5
		s.run(time.Second + time.Duration(seed)*time.Millisecond)
		leaving := s.group
		leaving.Targets = append([]topology.Target(nil), s.group.Targets...)
		leaving.Targets[0].Leaving = true
		for _, h := range s.hosts {
			h.machine.SetGroup(leaving, s.now)
		}
		gap := gapAfter(t, s, failoverBound)
		qt.Assert(t, gap < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", gap))
		qt.Assert(t, s.promotions, qt.HasLen, 1)
		qt.Assert(t, s.promotions[0].target, qt.Not(qt.Equals), topology.TargetID("t0"))
		qt.Assert(t, s.promotions[0].has(s.written[1]), qt.IsTrue)
	}
}

// A host that alone can't reach a healthy primary changes nothing.
func TestPrimaryThatOthersReachIsLeftAlone(t *testing.T) {
	s := newSimulation(5, 3, 3)
	s.run(time.Second)
	s.cut["h1>t0"], s.cut["t0>h1"] = true, true
	s.run(30 * time.Second)
	qt.Assert(t, s.calls, qt.Equals, 0)
}

// Hosts that can't ask each other act at the same time: a term still has one
// primary, and the group comes to rest.
func TestRivalsShareNoTerm(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(seed, 3, 3)
		s.delay = 20 * time.Millisecond
		s.run(time.Second)
		for _, a := range s.hosts {
			for _, b := range s.hosts {
				s.cut[string(a.id)+">"+string(b.id)] = true
			}
		}
		s.targets["t0"].down = true
		gapAfter(t, s, failoverBound)
		s.run(2 * time.Second)
		qt.Assert(t, s.broken, qt.IsNil)
		changes := len(s.promotions)
		s.run(5 * time.Second)
		qt.Assert(t, s.promotions, qt.HasLen, changes)
	}
}

// The answer of one fence is not enough to promote.
func TestPromotesOnlyWithAMajorityFenced(t *testing.T) {
	s := newSimulation(6, 1, 3)
	s.run(time.Second)
	m := s.hosts[0].machine
	m.phase, m.since = PhaseFencing, s.now
	m.attempt = attempt{term: 2, answers: map[topology.TargetID]target.Status{}, ordered: map[topology.TargetID]bool{}, refused: map[topology.TargetID]bool{}}
	promoted := func(id topology.TargetID) bool {
		order := Order{Kind: OrderFence, Target: id, Term: 2}
		st := target.Status{Target: id, Role: target.Fenced, Term: 2}
		for _, a := range m.Step(s.now, OrderDoneEvent{Order: order, Status: st, SentAt: s.now}) {
			if g, ok := a.(Give); ok && g.Order.Kind == OrderPromote {
				return true
			}
		}
		return false
	}
	qt.Assert(t, promoted("t1"), qt.IsFalse)
	qt.Assert(t, promoted("t1"), qt.IsFalse)
	qt.Assert(t, promoted("t2"), qt.IsTrue)
}

// Replicas that receive late, but receive, are no reason to change the primary;
// where they begin with a long delay, that is learned after few changes.
func TestSlowReplicationIsNoReason(t *testing.T) {
	for _, test := range []struct {
		lag     time.Duration
		changes int
	}{{300 * time.Millisecond, 0}, {3 * time.Second, 3}} {
		s := newSimulation(4, 3, 3)
		s.run(time.Second)
		s.hidden = int(test.lag / simWrite)
		s.run(30 * time.Second)
		changes := len(s.promotions)
		qt.Check(t, changes <= test.changes, qt.IsTrue, qt.Commentf("%d changes with a lag of %v", changes, test.lag))
		s.run(30 * time.Second)
		qt.Check(t, s.promotions, qt.HasLen, changes)
	}
}
