package locality

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulate runs the same load under each policy, and logs what callers got.
func simulate(t *testing.T, configure func(*sim)) (outcomes [byCost + 1]outcome, sims [byCost + 1]*sim) {
	for p := neverLeave; p <= byCost; p++ {
		s := newSim(p)
		configure(s)
		s.run()
		outcomes[p], sims[p] = s.outcome(), s
		t.Logf("%-18s %v; %d accepted while own callers waited", p, outcomes[p], s.foreignWhenBusy)
	}
	return outcomes, sims
}

// withoutTarget leaves the last domain without a target.
func withoutTarget(s *sim) { s.domains[3].hasTarget, s.load = false, 0.6 }

// withSlowTarget makes the last domain's target take 8 times as long.
func withSlowTarget(s *sim) {
	s.load = 0.6
	s.domains[3].slow = func(time.Time) float64 { return 8 }
}

// flashEnd and the times before it delimit a flash crowd in the last domain.
const (
	flashStart = 20 * time.Second
	flashEnd   = 40 * time.Second
)

// withFlashCrowd triples the load of the last domain for a while.
func withFlashCrowd(s *sim) {
	s.load, s.window = 0.6, [2]time.Duration{flashStart, flashEnd}
	s.factor = func(d *simDomain) float64 {
		if at := s.elapsed(); d.index == 3 && at >= flashStart && at < flashEnd {
			return 3
		}
		return 1
	}
}

// Waves out of phase: each domain is short of capacity while others have some left.
// Work that never leaves waits or is refused; a decision by expected time alone sends
// twice the bytes, and hosts of two domains send each other work at the same time.
func TestWavesOutOfPhase(t *testing.T) {
	outcomes, sims := simulate(t, func(*sim) {})
	o := outcomes[byCost]
	qt.Check(t, o.cost < outcomes[neverLeave].cost/2, qt.IsTrue)
	qt.Check(t, o.cost < outcomes[leaveIfFull].cost, qt.IsTrue)
	qt.Check(t, o.cost < outcomes[byTime].cost, qt.IsTrue)
	qt.Check(t, o.megabytes < outcomes[byTime].megabytes*0.6, qt.IsTrue)
	qt.Check(t, o.mutual < outcomes[byTime].mutual/2, qt.IsTrue)
	qt.Check(t, o.lost < 0.001, qt.IsTrue)
	qt.Check(t, sims[byCost].foreignWhenBusy < sims[leaveIfFull].foreignWhenBusy, qt.IsTrue)
}

// On a quiet day nobody waits, and almost nothing may leave. Statements differ by more
// than a crossing costs: decided by the last one instead of an average, 5 of 100 left.
func TestQuietDay(t *testing.T) {
	s := newSim(byCost)
	s.blind, s.load = true, 0.2
	s.run()
	t.Logf("%v; %d crossings", s.outcome(), s.crossings)
	qt.Check(t, float64(s.crossings) < 0.01*float64(s.outcome().statements), qt.IsTrue)
}

// A higher price of bytes must reduce the bytes, and a lower one the waits.
func TestPriceDecidesBetweenBytesAndWaits(t *testing.T) {
	var outcomes []outcome
	for _, factor := range []float64{0.1, 1, 10, 100} {
		s := newSim(byCost)
		s.prices.Gigabyte *= factor
		s.run()
		outcomes = append(outcomes, s.outcome())
		t.Logf("price of bytes x %g: %v", factor, s.outcome())
	}
	for i := range outcomes[1:] {
		qt.Check(t, outcomes[i+1].megabytes < outcomes[i].megabytes, qt.IsTrue)
		qt.Check(t, outcomes[i+1].mean > outcomes[i].mean, qt.IsTrue)
	}
}

// A domain without a target sends all of its work to the others, which must serve it
// without making their own callers wait much longer.
func TestDomainWithoutTarget(t *testing.T) {
	outcomes, sims := simulate(t, withoutTarget)
	o := outcomes[byCost]
	for p := neverLeave; p < byCost; p++ {
		qt.Check(t, o.cost < outcomes[p].cost, qt.IsTrue)
	}
	qt.Check(t, o.lost < 0.001, qt.IsTrue)
	qt.Check(t, sims[byCost].outcome(0, 1, 2).mean < outcomes[neverLeave].mean, qt.IsTrue)
}

// A domain whose target is slow sends most of its work elsewhere, as far as the
// others have capacity left.
func TestDomainWithSlowTarget(t *testing.T) {
	outcomes, sims := simulate(t, withSlowTarget)
	o := outcomes[byCost]
	qt.Check(t, o.cost < outcomes[neverLeave].cost/4, qt.IsTrue)
	qt.Check(t, o.cost < outcomes[byTime].cost, qt.IsTrue)
	qt.Check(t, o.megabytes < outcomes[byTime].megabytes, qt.IsTrue)
	qt.Check(t, sims[byCost].foreignWhenBusy*2 < sims[leaveIfFull].foreignWhenBusy, qt.IsTrue)
}

// With a shortage in all domains, sending work across only moves the queue. Without
// regard to that, three quarters of the statements cross domains.
func TestShortageEverywhere(t *testing.T) {
	outcomes, _ := simulate(t, func(s *sim) { s.load = 1.3 })
	o := outcomes[byCost]
	qt.Check(t, o.megabytes < outcomes[leaveIfFull].megabytes/5, qt.IsTrue)
	qt.Check(t, o.lost < outcomes[neverLeave].lost, qt.IsTrue)
	// At this load no domain has capacity left at any time.
	s := newSim(byCost)
	s.load = 2.2
	s.run()
	o = s.outcome()
	t.Logf("load 2.2: %v", o)
	qt.Check(t, float64(s.crossings) < 0.01*float64(o.statements), qt.IsTrue)
}

// Without the bound on intake, a flash crowd in one domain fills the queues of the
// others, whose own callers then wait and are refused.
func TestFlashCrowdElsewhereDoesNotDelayOwnCallers(t *testing.T) {
	outcomes, sims := simulate(t, withFlashCrowd)
	qt.Check(t, outcomes[byCost].cost < outcomes[leaveIfFull].cost, qt.IsTrue)
	own, alone, full := sims[byCost].outcome(0, 1, 2), sims[neverLeave].outcome(0, 1, 2), sims[leaveIfFull].outcome(0, 1, 2)
	t.Logf("callers of the other domains: alone %v; when full %v; by cost %v", alone, full, own)
	qt.Check(t, own.lost < full.lost/2, qt.IsTrue)
	qt.Check(t, own.p95 < alone.p95*5/4, qt.IsTrue)
	qt.Check(t, sims[byCost].foreignWhenBusy < 1500, qt.IsTrue)
}

// Hosts that know their domain's queue only from recent answers decide by old
// figures. If shares jumped, all of them would send, then all withdraw: three runs send
// 49 MB across rather than 28, and in a flash crowd 0.165 rather than 0.130 are lost (sums).
func TestDampingWithOldFigures(t *testing.T) {
	var old, flash outcome
	for seed := range uint64(3) {
		for _, c := range []struct {
			sum       *outcome
			configure func(*sim)
		}{{&old, func(s *sim) { s.blind = true }}, {&flash, func(s *sim) {
			s.blind = true
			withFlashCrowd(s)
		}}} {
			s := newSim(byCost)
			s.random = rand.New(rand.NewPCG(5, seed))
			c.configure(s)
			s.run()
			o := s.outcome()
			c.sum.lost, c.sum.megabytes, c.sum.cost = c.sum.lost+o.lost, c.sum.megabytes+o.megabytes, c.sum.cost+o.cost
		}
	}
	t.Logf("waves: lost %.4f, %.1f MB, cost %.1f; flash crowd: lost %.4f, %.1f MB, cost %.1f", old.lost, old.megabytes, old.cost, flash.lost, flash.megabytes, flash.cost)
	qt.Check(t, old.lost < 0.0075, qt.IsTrue)
	qt.Check(t, old.megabytes < 40, qt.IsTrue)
	qt.Check(t, flash.lost < 0.15, qt.IsTrue)
}

// A domain that can send but gets no answers must stop to send: each statement sent
// is lost for its caller.
func TestAnswersLostInOneDirection(t *testing.T) {
	const cutAt = 20 * time.Second
	s := newSim(byCost)
	s.cut = func(_, to *simDomain) bool { return to.index == 0 && s.elapsed() > cutAt }
	s.window = [2]time.Duration{cutAt + 2*time.Second, simDuration - 2*time.Second}
	s.run()
	alone := newSim(neverLeave)
	alone.window = s.window
	alone.run()
	t.Logf("callers of the cut domain: %v; without other domains: %v", s.outcome(0), alone.outcome(0))
	qt.Check(t, s.outcome(0).lost < alone.outcome(0).lost+0.005, qt.IsTrue)
	qt.Check(t, s.outcome(1, 2, 3).lost < 0.005, qt.IsTrue)
}

// A domain whose target comes back cold, here 6 times as slow at first, must not get
// its whole load at once.
func TestColdReturn(t *testing.T) {
	const gone, back = 20 * time.Second, 30 * time.Second
	run := func(p policy) *sim {
		s := newSim(p)
		s.load = 0.6
		d := s.domains[3]
		d.slow = func(time.Time) float64 {
			if since := s.elapsed() - back; since > 0 && since < returnTime {
				return 1 + 5*float64(returnTime-since)/float64(returnTime)
			}
			return 1
		}
		s.after(gone, func() { d.hasTarget = false })
		s.after(back, func() { d.hasTarget, d.intake = true, NewIntake(s.now) })
		s.window = [2]time.Duration{back, back + 2*returnTime}
		s.run()
		return s
	}
	cost, full := run(byCost), run(leaveIfFull)
	t.Logf("callers after the return: by cost %v; when full %v", cost.outcome(3), full.outcome(3))
	qt.Check(t, cost.outcome(3).late < full.outcome(3).late, qt.IsTrue)
	qt.Check(t, cost.outcome(3).lost < 0.005, qt.IsTrue)
	at := func(d time.Duration) float64 { return cost.shareByDomain[3][int(d/UpdateInterval)] }
	qt.Check(t, at(gone+4*time.Second), qt.Equals, 1.0)
	qt.Check(t, at(back+time.Second) > 0.7, qt.IsTrue)
}
