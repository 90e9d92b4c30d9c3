package quota

// These tests check how much of the demand up to the limit is admitted.

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// The rates of a large, a medium and the usual small customer, with bursts of one second.
var simLimits = []Limit{{Rate: 512, Burst: 512}, {Rate: 32, Burst: 32}, {Rate: 3.2, Burst: 3.2}, {Rate: 512, Burst: 20}, {Rate: 3.2, Burst: 0}}

// customersFor returns how many customers have the limit: enough for a few thousand
// operations.
func customersFor(limit Limit) int { return max(1, int(32/limit.Rate)) }

// leastAdmitted is the part of the operations at usual demand that must be admitted.
const leastAdmitted = 0.99

// Refusing a customer below its limit is service lost: at usual demand over 67 hosts
// almost everything is admitted.
func TestUsualDemandIsAdmitted(t *testing.T) { checkUsualDemand(t, func(*sim, bool) {}) }

// The same while one domain of three is cut off for 20 s of 33 s.
func TestUsualDemandIsAdmittedDuringCut(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run("both directions "+strconv.FormatBool(both), func(t *testing.T) {
			checkUsualDemand(t, func(s *sim, off bool) { s.cutDomain(2, both || !off, off) })
		})
	}
}

// checkUsualDemand checks the part that is admitted at usual demand for each of the limits.
// cut begins and ends a cut.
func checkUsualDemand(t *testing.T, cut func(s *sim, off bool)) {
	for _, limit := range simLimits {
		t.Run(strconv.FormatFloat(limit.Rate, 'f', -1, 64)+" "+strconv.FormatFloat(limit.Burst, 'f', -1, 64), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSim(7, 67, 3, customersFor(limit), limit)
				s.demand, s.poll = evenly(s, limit.Rate/1.6), time.Second
				const settled = 3 * time.Second
				s.keep = func(at time.Duration) bool { return at > settled }
				s.run(7, 36*time.Second, map[time.Duration]func(){
					8 * time.Second:  func() { cut(s, true) },
					28 * time.Second: func() { cut(s, false) },
				})
				s.checkWindows(t, limit)
				if part := float64(s.admitted) / float64(s.offered); part < leastAdmitted {
					t.Errorf("%.4f admitted", part)
				}
			})
		})
	}
}

// A customer at its limit gets at least 0.9 of it, whether its callers are at all hosts
// or at one of 100.
func TestLimitIsUsed(t *testing.T) {
	for _, limit := range simLimits[:3] {
		fleetSizes := map[string]int{"67 hosts": 67, "one host of 100": 100}
		for name, hosts := range map[string]int{"67 hosts": 67, "one host of 100": 1} {
			for _, factor := range []float64{1.05, 4.7} {
				t.Run(name+" "+strconv.FormatFloat(limit.Rate, 'f', -1, 64)+" "+strconv.FormatFloat(limit.Burst, 'f', -1, 64)+" x "+strconv.FormatFloat(factor, 'f', -1, 64), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newSim(3, fleetSizes[name], 3, customersFor(limit), limit)
						s.poll = time.Second // demand is constant
						s.demand = func(host int, _ time.Duration) float64 {
							if host >= hosts {
								return 0
							}
							return factor * limit.Rate / float64(hosts)
						}
						const from, to = 6 * time.Second, 12 * time.Second
						s.keep = func(at time.Duration) bool { return at >= from && at < to }
						s.run(3, to, nil)
						s.checkWindows(t, limit)
						whole := limit.Rate * float64(len(s.customers)) * (to - from).Seconds()
						used := float64(s.ranIn(from, to)) / min(whole, float64(s.offered)) // callers come at random
						t.Logf("%d hosts, %.3f of the limit used", len(s.hosts), used)
						if used < 0.9 {
							t.Errorf("%.3f of the limit used", used)
						}
					})
				})
			}
		}
	}
}
