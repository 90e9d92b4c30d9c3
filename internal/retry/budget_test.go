package retry

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// The simulated load: statements of a fleet whose targets fail for a part of the time.
const (
	simHosts    = 67
	simTargets  = 24
	simRate     = 1076 // statements a second
	simSeconds  = 30
	simFailFrom = 10 // seconds during which half of the targets fail
	simFailTo   = 20
	simTries    = 4 // for one statement
	simWindow   = 5 // seconds over which sendings are counted
)

// simResult counts statements and sendings of each second.
type simResult struct {
	first, sendings         [simSeconds]int
	served, urgent, urgent1 int // during the failure: all that were served; urgent ones, and those of them served
}

// simulate sends the load. Hosts have budgets, or retry without bound.
func simulate(budgeted bool) simResult {
	random := rand.New(rand.NewPCG(5, 6))
	budgets := make([]Budget, simHosts)
	for i := range budgets {
		budgets[i] = NewBudget(HostReserve(simHosts))
	}
	var result simResult
	for second := range simSeconds {
		failing := second >= simFailFrom && second < simFailTo
		for range simRate {
			b, urgent := &budgets[random.IntN(simHosts)], random.IntN(7) == 0
			result.first[second]++
			ok := false
			for try := range simTries {
				if try == 0 {
					b.Deposit()
				} else if budgeted && !b.Covers(urgent) {
					break
				} else {
					b.Withdraw()
				}
				result.sendings[second]++
				if ok = !failing || random.IntN(simTargets) >= simTargets/2; ok {
					break
				}
			}
			if failing && urgent {
				result.urgent++
			}
			if failing && ok {
				result.served++
				if urgent {
					result.urgent1++
				}
			}
		}
	}
	return result
}

// excess returns the most sendings in any window above 1.1 times the first sendings.
func (r *simResult) excess() float64 {
	worst := 0.0
	for start := 0; start+simWindow <= simSeconds; start++ {
		first, sendings := 0, 0
		for second := start; second < start+simWindow; second++ {
			first, sendings = first+r.first[second], sendings+r.sendings[second]
		}
		worst = max(worst, float64(sendings)-(1+Ratio)*float64(first))
	}
	return worst
}

// While half of the targets fail, the sendings of all hosts must stay within 1.1 times the
// first sendings plus the reserve, in any window. Without the budget they almost double.
func TestSendingsAreBoundedWhileHalfOfTargetsFail(t *testing.T) {
	reserve := HostReserve(simHosts) * simHosts
	with, without := simulate(true), simulate(false)
	t.Logf("sendings above 1.1 of the first: %.0f with the budget, %.0f without; reserve %.0f; served %d and %d; urgent served %d of %d",
		with.excess(), without.excess(), reserve, with.served, without.served, with.urgent1, with.urgent)
	qt.Check(t, with.excess() <= reserve, qt.IsTrue)
	qt.Check(t, without.excess() > 2*reserve, qt.IsTrue)
	qt.Check(t, reserve < FleetReserve+0.001 && reserve > FleetReserve-0.001, qt.IsTrue)
}

// The last third of the reserve is for urgent statements, so that they are served more often
// while there are more failures than retries.
func TestUrgentStatementsUseLastThird(t *testing.T) {
	b := NewBudget(9)
	n := 0
	for b.Covers(false) {
		b.Withdraw()
		n++
	}
	qt.Check(t, n, qt.Equals, 6)
	for b.Covers(true) {
		b.Withdraw()
		n++
	}
	qt.Check(t, n, qt.Equals, 9)
	r := simulate(true)
	all := float64(r.served) / ((simFailTo - simFailFrom) * simRate)
	qt.Check(t, float64(r.urgent1)/float64(r.urgent) > all+0.1, qt.IsTrue, qt.Commentf("%d of %d urgent, %.3f of all", r.urgent1, r.urgent, all))
}

// A lone failure is retried at once, also in the largest fleet, by a statement that isn't
// urgent, and again soon after it. Without the least reserve a host of a large fleet would
// never have a whole retry.
func TestLoneFailureIsRetried(t *testing.T) {
	for _, hosts := range []int{0, 1, 3, 67, 139, 4500} {
		b := NewBudget(HostReserve(hosts))
		qt.Check(t, b.Covers(false), qt.IsTrue, qt.Commentf("%d hosts", hosts))
		b.Withdraw()
		qt.Check(t, b.Covers(false), qt.IsTrue, qt.Commentf("%d hosts", hosts))
	}
}

// Whatever happens in whatever order, retries that the budget covers stay within what was
// earned since any moment, plus the largest reserve. The reserve rises once, as at the start of
// a host, and then only falls.
func TestRetriesStayWithinEarnedAndReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 200).Draw(t, "hosts")
		b := NewBudget(MinReserve)
		largest, excess := HostReserve(hosts), 0.0 // the most retries above what was earned, in any interval that ends now
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.Deposit()
				excess = max(excess-Ratio, 0)
			case 1:
				b.SetReserve(HostReserve(hosts))
				hosts += rapid.IntRange(0, 50).Draw(t, "more hosts")
			default:
				if b.Covers(rapid.Bool().Draw(t, "urgent")) {
					b.Withdraw()
					excess++
				}
			}
			if excess > largest+1e-6 {
				t.Fatalf("%f retries above what was earned, reserve %f", excess, largest)
			}
		}
	})
}
