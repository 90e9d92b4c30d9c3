package failover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const failoverBound = 10 * time.Second // limit for a failover to complete

// injectFault injects one randomly drawn fault.
func injectFault(t *rapid.T, s *simulation) {
	ids := make([]string, 0, len(s.targets)+len(s.hosts))
	for _, tg := range s.group.Targets {
		ids = append(ids, string(tg.ID))
	}
	for _, h := range s.hosts {
		ids = append(ids, string(h.id))
	}
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		victim := s.targets[topology.TargetID(rapid.SampledFrom(ids[:len(s.targets)]).Draw(t, "killed"))]
		victim.down = true
	case 1:
		victim := s.targets[topology.TargetID(rapid.SampledFrom(ids[:len(s.targets)]).Draw(t, "restarted"))]
		if victim.down {
			victim.restart()
		}
	case 2:
		h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "paused")]
		s.pause(h, time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause"))*time.Millisecond)
	case 3:
		from := rapid.SampledFrom(ids).Draw(t, "from")
		s.cutLinks[from+">"+rapid.SampledFrom(ids).Draw(t, "to")] = true
	case 4: // isolates one target or host from all others
		isolated := rapid.SampledFrom(ids).Draw(t, "isolated")
		for _, id := range ids {
			s.cutLinks[isolated+">"+id], s.cutLinks[id+">"+isolated] = true, true
		}
	case 5:
		clear(s.cutLinks)
	case 6:
		s.lossRate = float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100
		s.replicationSkipRate = float64(rapid.IntRange(0, 95).Draw(t, "replication skip rate")) / 100
		s.maxDelay = time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond
	}
}

// Under random faults, a term has at most one primary and every confirmed write
// is in the log of each later primary. After the faults end, the group gets a
// primary again and confirms writes.
func TestConfirmedWritesSurviveFaultsAndConcurrentFailovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "targets")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"), targets)
		s.run(300 * time.Millisecond)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			injectFault(t, s)
			s.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "time until next fault")) * time.Millisecond)
		}
		s.healFaults()
		s.run(failoverBound)
		if s.violation != nil {
			t.Fatal(s.violation)
		}
		if s.servingPrimary() == nil {
			for _, tg := range s.targets {
				t.Logf("%+v", tg.status())
			}
			for _, h := range s.hosts {
				t.Logf("%+v", h.machine.Dump(s.now))
			}
			t.Fatalf("no primary %v after the faults ended", failoverBound)
		}
		confirmedBefore := len(s.confirmed)
		s.run(time.Second)
		if len(s.confirmed) == confirmedBefore {
			t.Fatalf("no write was confirmed although there is a primary")
		}
	})
}

// waitForFailover returns how long it takes until a write of a term above the
// first is confirmed. It fails the test if that takes longer than bound.
func waitForFailover(t *testing.T, s *simulation, bound time.Duration) time.Duration {
	start := s.now
	for s.now.Sub(start) < bound {
		s.run(5 * time.Millisecond)
		if n := len(s.confirmed); n > 0 && s.confirmed[n-1].Term > 1 {
			return s.now.Sub(start)
		}
	}
	t.Fatalf("no write of a new term was confirmed within %v", bound)
	return 0
}

func TestFailoverTimeStaysWithinBound(t *testing.T) {
	cutPrimaryFrom := func(s *simulation, others ...string) {
		for _, id := range others {
			s.cutLinks["t0>"+id], s.cutLinks[id+">t0"] = true, true
		}
	}
	for _, test := range []struct {
		name  string
		bound time.Duration
		fault func(*simulation)
	}{
		{"kill", time.Second, func(s *simulation) { s.targets["t0"].down = true }},
		{"immediate restart", time.Second, func(s *simulation) { s.targets["t0"].restart() }},
		{"partitioned from all", 1500 * time.Millisecond, func(s *simulation) { cutPrimaryFrom(s, "t1", "t2", "h0", "h1", "h2") }},
		{"partitioned from replicas", 1500 * time.Millisecond, func(s *simulation) { cutPrimaryFrom(s, "t1", "t2") }},
		{"failure domain partitioned", 1500 * time.Millisecond, func(s *simulation) {
			cutPrimaryFrom(s, "t1", "t2", "h1", "h2")
			for _, id := range []string{"t1", "t2", "h1", "h2"} {
				s.cutLinks["h0>"+id], s.cutLinks[id+">h0"] = true, true
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(30) {
				s := newSimulation(seed, 3, 3)
				s.run(time.Second + time.Duration(seed)*3*time.Millisecond)
				test.fault(s)
				waitForFailover(t, s, test.bound)
				s.run(time.Second)
				qt.Assert(t, s.violation, qt.IsNil)
				qt.Assert(t, len(s.promotions), qt.Equals, 1)
			}
		})
	}
}

// A host that is cut off from a majority neither promotes a target nor raises a
// term, and leaves a healthy primary alone when it reconnects.
func TestHostWithoutMajorityNeitherFencesNorPromotes(t *testing.T) {
	s := newSimulation(1, 3, 3)
	s.run(time.Second)
	for _, id := range []string{"t0", "t1", "h1", "h2"} {
		s.cutLinks["h0>"+id], s.cutLinks[id+">h0"] = true, true
	}
	s.run(30 * time.Second)
	qt.Assert(t, s.hosts[0].machine.CanConfirm(s.now), qt.ErrorMatches, ".*208.*")
	clear(s.cutLinks)
	s.run(200 * time.Millisecond)
	qt.Assert(t, s.hosts[0].machine.CanConfirm(s.now), qt.IsNil)
	s.run(3 * time.Second)
	qt.Assert(t, s.targets["t2"].term, qt.Equals, uint64(1))
	qt.Assert(t, s.orderCount, qt.Equals, 0)
	qt.Assert(t, s.violation, qt.IsNil)
}

// A reconnected host must repeat the pre-vote before it changes anything,
// whichever answer arrives first, because its view of the primary dates from
// before the reconnection.
func TestReconnectedHostCausesNoFailover(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(seed, 3, 3)
		s.run(time.Second)
		for _, id := range []string{"t0", "t1", "h1", "h2"} {
			s.cutLinks["h0>"+id], s.cutLinks[id+">h0"] = true, true
		}
		s.run(2*time.Second + time.Duration(seed)*17*time.Millisecond)
		clear(s.cutLinks)
		s.run(3 * time.Second)
		qt.Assert(t, s.orderCount, qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}

func TestOldPrimaryFollowsAfterItsReturn(t *testing.T) {
	s := newSimulation(2, 3, 3)
	s.run(time.Second)
	s.targets["t0"].down = true
	waitForFailover(t, s, failoverBound)
	s.targets["t0"].restart()
	s.run(2 * time.Second)
	old := s.targets["t0"]
	qt.Assert(t, old.role, qt.Equals, target.Replica)
	qt.Assert(t, old.primary, qt.Equals, s.servingPrimary().id)
	qt.Assert(t, old.hasEntry(s.confirmed[len(s.confirmed)-10]), qt.IsTrue)
}

// A handover from a leaving primary loses no entry, confirmed or not.
func TestHandoverLosesNoEntry(t *testing.T) {
	for seed := range uint64(30) {
		s := newSimulation(seed, 3, 3)
		s.replicationSkipRate = 0.5
		s.run(time.Second + time.Duration(seed)*time.Millisecond)
		leaving := s.group
		leaving.Targets = append([]topology.Target(nil), s.group.Targets...)
		leaving.Targets[0].Leaving = true
		for _, h := range s.hosts {
			h.machine.SetGroup(leaving, s.now)
		}
		gap := waitForFailover(t, s, failoverBound)
		qt.Assert(t, gap < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", gap))
		qt.Assert(t, s.promotions, qt.HasLen, 1)
		qt.Assert(t, s.promotions[0].target, qt.Not(qt.Equals), topology.TargetID("t0"))
		qt.Assert(t, s.promotions[0].hasEntry(s.lastWrites[1]), qt.IsTrue)
	}
}

// A host that cannot reach a healthy primary causes no failover while other hosts
// reach that primary.
func TestNoFailoverWhileOtherHostsReachThePrimary(t *testing.T) {
	s := newSimulation(5, 3, 3)
	s.run(time.Second)
	s.cutLinks["h1>t0"], s.cutLinks["t0>h1"] = true, true
	s.run(30 * time.Second)
	qt.Assert(t, s.orderCount, qt.Equals, 0)
}

// Hosts that cannot request opinions from each other start failovers at the same
// time. Each term still has one primary, and the group becomes stable.
func TestConcurrentFailoversShareNoTerm(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(seed, 3, 3)
		s.maxDelay = 20 * time.Millisecond
		s.run(time.Second)
		for _, a := range s.hosts {
			for _, b := range s.hosts {
				s.cutLinks[string(a.id)+">"+string(b.id)] = true
			}
		}
		s.targets["t0"].down = true
		waitForFailover(t, s, failoverBound)
		s.run(2 * time.Second)
		qt.Assert(t, s.violation, qt.IsNil)
		changes := len(s.promotions)
		s.run(5 * time.Second)
		qt.Assert(t, s.promotions, qt.HasLen, changes)
	}
}

// A majority of distinct fenced targets is needed to promote: a second answer of
// the same target does not count.
func TestPromotesOnlyWithAMajorityFenced(t *testing.T) {
	s := newSimulation(6, 1, 3)
	s.run(time.Second)
	m := s.hosts[0].machine
	m.phase, m.phaseSince = PhaseFencing, s.now
	m.attempt = attempt{term: 2, fenced: map[topology.TargetID]target.Status{}, fenceSent: map[topology.TargetID]bool{}, fenceRefused: map[topology.TargetID]bool{}}
	promotesAfterFenceOf := func(id topology.TargetID) bool {
		order := Order{Kind: OrderFence, Target: id, Term: 2}
		st := target.Status{Target: id, Role: target.Fenced, Term: 2}
		for _, a := range m.Step(s.now, OrderFinished{Order: order, Status: st, SentAt: s.now}) {
			if g, ok := a.(SendOrder); ok && g.Order.Kind == OrderPromote {
				return true
			}
		}
		return false
	}
	qt.Assert(t, promotesAfterFenceOf("t1"), qt.IsFalse)
	qt.Assert(t, promotesAfterFenceOf("t1"), qt.IsFalse)
	qt.Assert(t, promotesAfterFenceOf("t2"), qt.IsTrue)
}

// Replication that is slow but makes progress causes no failover. If a long lag
// appears suddenly, the machines adapt to it after a few failovers.
func TestSlowReplicationCausesNoFailover(t *testing.T) {
	for _, test := range []struct {
		lag     time.Duration
		changes int
	}{{300 * time.Millisecond, 0}, {3 * time.Second, 3}} {
		s := newSimulation(4, 3, 3)
		s.run(time.Second)
		s.replicationLag = int(test.lag / simWriteInterval)
		s.run(30 * time.Second)
		changes := len(s.promotions)
		qt.Check(t, changes <= test.changes, qt.IsTrue, qt.Commentf("%d failovers with a lag of %v", changes, test.lag))
		s.run(30 * time.Second)
		qt.Check(t, s.promotions, qt.HasLen, changes)
	}
}

// fence fences targets at term 2 and returns the target that the machine promotes, or "".
func (s *simulation) fence(m *Machine, fenced ...target.Status) (promoted topology.TargetID) {
	for _, st := range fenced {
		order := Order{Kind: OrderFence, Target: st.Target, Term: 2}
		for _, a := range m.Step(s.now, OrderFinished{Order: order, Status: st, SentAt: s.now}) {
			if o, ok := a.(SendOrder); ok && o.Order.Kind == OrderPromote {
				promoted = o.Order.Target
			}
		}
	}
	return promoted
}

func startAttempt(s *simulation, m *Machine) {
	m.phase, m.phaseSince = PhaseFencing, s.now
	m.attempt = attempt{term: 2, fenced: map[topology.TargetID]target.Status{}, fenceSent: map[topology.TargetID]bool{}, fenceRefused: map[topology.TargetID]bool{}}
}

// withT3InsteadOfT2 returns the group after the platform replaced t2 by t3.
func withT3InsteadOfT2(group topology.Group) topology.Group {
	group.Targets = append(append([]topology.Target(nil), group.Targets[:2]...), topology.Target{ID: "t3", Group: group.ID, Domain: "d2"})
	return group
}

func fencedAt(id topology.TargetID, offset uint64) target.Status {
	return target.Status{Target: id, Role: target.Fenced, Term: 2, Received: topology.Position{Term: 1, Offset: offset}}
}

// t0 and t3, a majority of the new list, may have confirmed a commit that t1 lacks.
func TestFencedTargetThatLeftTheGroupDoesNotCountForPromotion(t *testing.T) {
	s := newSimulation(7, 1, 3)
	s.run(time.Second)
	m := s.hosts[0].machine
	startAttempt(s, m)
	qt.Assert(t, s.fence(m, fencedAt("t2", 5)), qt.Equals, topology.TargetID(""))
	m.SetGroup(withT3InsteadOfT2(s.group), s.now)
	qt.Assert(t, s.fence(m, fencedAt("t1", 5)), qt.Equals, topology.TargetID(""), qt.Commentf("only t1 of t0, t1 and t3 is fenced"))
}

// Hosts that still have the earlier list confirm commits that only t0 and t2 have.
func TestPromotionWithNewTargetListKeepsCommitsConfirmedWithTheEarlierOne(t *testing.T) {
	s := newSimulation(8, 1, 3)
	s.run(time.Second)
	m := s.hosts[0].machine
	commit := topology.Position{Term: 1, Offset: 9}
	answers := []target.Status{{Target: "t0", Term: 1, Received: commit}, {Target: "t2", Term: 1, Received: commit}}
	qt.Assert(t, Confirmed(answers, 1, commit, s.group.Majority(), customer.AckMajority), qt.IsTrue)
	m.SetGroup(withT3InsteadOfT2(s.group), s.now)
	startAttempt(s, m)
	qt.Assert(t, s.fence(m, fencedAt("t1", 5), fencedAt("t3", 5)), qt.Equals, topology.TargetID(""), qt.Commentf("the promoted target lacks %v", commit))
}
