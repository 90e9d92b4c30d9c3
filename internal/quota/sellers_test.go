package quota

import (
	"testing"
	"testing/synctest"
	"time"
)

// fleetLimits are those of 76 customers, two of them large.
func fleetLimits() []Limit {
	limits := []Limit{{Rate: 512, Burst: 512}, {Rate: 512, Burst: 512}}
	for range 6 {
		limits = append(limits, Limit{Rate: 64, Burst: 64})
	}
	for len(limits) < 76 {
		limits = append(limits, Limit{Rate: 3.2, Burst: 3.2})
	}
	return limits
}

// leastInSpan returns the least part of the operations that were admitted in a span of
// five seconds in [from, to), and when that began.
func (s *sim) leastInSpan(from, to time.Duration) (least float64, at time.Duration) {
	const step, span = time.Second / 2, 5 * time.Second
	least = 1
	for begin := from; begin+span <= to; begin += step {
		var sum tally
		for half := begin; half < begin+span; half += step {
			sum.offered += s.byHalfSecond[half].offered
			sum.admitted += s.byHalfSecond[half].admitted
		}
		if part := float64(sum.admitted) / float64(sum.offered); part < least {
			least, at = part, begin
		}
	}
	return least, at
}

// While nothing but the seller changes, at least 0.99 of the usual demand is admitted in
// every five seconds. Refused were up to a fifth for two seconds: a coordinator that deputies
// had stood in for sold without their votes, its level cut to 0, until they expired, and new
// sellers began before they had the tokens of the earlier ones.
func TestUsualDemandIsAdmittedWhileSellersChange(t *testing.T) {
	const begin, end, from, to = 5 * time.Second, 11 * time.Second, 3 * time.Second, 18 * time.Second
	for name, c := range map[string]struct {
		begin, end func(s *sim, large *simHost) // large coordinates the first customer
		from       time.Duration                // of the spans that are checked
	}{
		"the coordinator is slow": {from: from, begin: func(_ *sim, large *simHost) { large.thawAt = time.Now().Add(400 * time.Millisecond) }},
		"a third of the hosts is slow": {from: from, begin: func(s *sim, _ *simHost) {
			for i := 0; i < len(s.hosts); i += 3 {
				s.hosts[i].thawAt = time.Now().Add(250 * time.Millisecond)
			}
		}},
		"the coordinator dies": {from: from, begin: func(_ *sim, large *simHost) { large.dead = true }},
		"the coordinator returns": {from: end, begin: func(_ *sim, large *simHost) { large.dead = true },
			end: func(_ *sim, large *simHost) { large.boot() }},
		"the coordinator restarts": {from: from, begin: func(_ *sim, large *simHost) { large.boot() }},
		"a domain is back in contact": {from: end, begin: func(s *sim, _ *simHost) { s.cutDomain(2, true, true) },
			end: func(s *sim, _ *simHost) { s.cutDomain(2, true, false) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSim(7, 67, 3, 1, Limit{})
				s.setLimits(fleetLimits())
				s.usual, s.poll = true, time.Second
				large := s.hosts[s.coordinatorIndex(s.hosts[0].list)]
				events := map[time.Duration]func(){begin: func() { c.begin(s, large) }}
				if c.end != nil {
					events[end] = func() { c.end(s, large) }
				}
				s.run(7, to, events)
				least, at := s.leastInSpan(c.from, to)
				t.Logf("%d offered, least admitted in 5 s %.4f from %s on", s.offered, least, at)
				if least < leastAdmitted {
					t.Errorf("%.4f admitted from %s on", least, at)
				}
			})
		})
	}
}
