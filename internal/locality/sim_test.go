package locality

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulated load: four domains with callers, hosts and one target each. The
// load of each rises and falls in a wave, and the waves are out of phase.
const (
	simHostsPerDomain = 6
	simSlots          = 4                       // work slots of a target
	simQueue          = 32                      // further statements that a target queues
	simService        = 15 * time.Millisecond   // mean time in a work slot; a target serves 266 statements a second
	simOneWay         = 900 * time.Microsecond  // between domains
	simLoad           = 0.72                    // mean load of a domain, as a fraction of a target's capacity
	simAmplitude      = 0.55                    // of the waves
	simPeriod         = 15 * time.Second        // of the waves
	simDuration       = 60 * time.Second        // four waves
	simGoal           = 200 * time.Millisecond  // of each statement
	simDeadline       = 1200 * time.Millisecond // of each statement
	simBytes          = 900                     // of a statement that crosses domains
	simReportAge      = 600 * time.Millisecond  // of what hosts know of other domains' queues
	simReportInterval = 50 * time.Millisecond
)

// simPrices make the bytes of a crossing worth 3.6 ms of one caller's time.
var simPrices = Prices{Gigabyte: 4000, Second: 1}

// policy decides which work leaves a domain.
type policy int

const (
	neverLeave  policy = iota // unless the domain has no target
	leaveIfFull               // if statements queue at the domain's target
	byTime                    // if the expected time elsewhere is shorter
	byCost                    // by Share and Intake
)

func (p policy) String() string {
	return [...]string{"never leave", "leave when full", "by expected time", "by time and price"}[p]
}

type simEvent struct {
	at  time.Time
	run func()
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simDomain is a domain with its target, if it has one.
type simDomain struct {
	index     int
	hasTarget bool
	slow      func(time.Time) float64 // factor of the service time
	measured  float64                 // factor of the service time, as measured from recent answers
	busy      int
	queue     []func()
	reports   []int // statements at the target, every simReportInterval
	intake    *Intake
	waits     []time.Duration // of its callers, from the arrival to the answer
	lost      int             // statements of its callers without an answer in time
	served    int             // statements served at its target
	foreign   int             // of these, of other domains
}

func (d *simDomain) load() int { return d.busy + len(d.queue) }

// expected is the time to the answer at a target with the given number of statements.
func (d *simDomain) expected(load int) time.Duration {
	service := time.Duration(d.measured * float64(simService))
	return service + service*time.Duration(max(0, load-simSlots+1))/simSlots
}

// simHost is a host with its own view of its domain and of the others.
type simHost struct {
	domain                *simDomain
	share                 Share
	home, away            Observed
	meter                 Meter
	served, refused, lost int
}

// sim is a simulated fleet.
type sim struct {
	policy  policy
	now     time.Time
	start   time.Time
	events  simEvents
	random  *rand.Rand
	domains []*simDomain
	hosts   []*simHost
	load    float64
	// cut reports whether an answer is lost on its way between two domains.
	cut func(from, to *simDomain) bool

	window          [2]time.Duration // outcomes count of callers that arrive in between; zero: all
	prices          Prices
	blind           bool                     // hosts know the queue in their domain only from the answers of the last statements
	factor          func(*simDomain) float64 // multiplies the load of a domain; nil: 1
	refusedSent     int                      // statements that were refused in their domain and sent out
	crossings       int
	updates         int         // of the first host
	mutualUpdates   int         // of these, before which two domains sent each other work
	shareByDomain   [][]float64 // by domain, at each update of its first host
	foreignWhenBusy int         // optional foreign statements accepted while callers of the domain waited
	pairs           [4][4]int   // statements from one domain to another since the last update
}

func newSim(p policy) *sim {
	s := &sim{policy: p, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(5, 6)), load: simLoad, prices: simPrices}
	s.start = s.now
	s.shareByDomain = make([][]float64, 4)
	for i := range 4 {
		d := &simDomain{index: i, hasTarget: true, measured: 1, slow: func(time.Time) float64 { return 1 }, intake: NewIntake(s.now.Add(-warmUp))}
		s.domains = append(s.domains, d)
		for range simHostsPerDomain {
			s.hosts = append(s.hosts, &simHost{domain: d})
		}
	}
	return s
}

func (s *sim) elapsed() time.Duration { return s.now.Sub(s.start) }

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.events, simEvent{s.now.Add(d), do}) }

// rate is a domain's load in statements a second.
func (s *sim) rate(d *simDomain) float64 {
	phase := 2*math.Pi*s.elapsed().Seconds()/simPeriod.Seconds() + math.Pi/2*float64(d.index)
	factor := 1.0
	if s.factor != nil {
		factor = s.factor(d)
	}
	return factor * s.load * simSlots / simService.Seconds() * (1 + simAmplitude*math.Sin(phase))
}

func (s *sim) run() {
	for _, d := range s.domains {
		s.arrive(d)
	}
	s.report()
	for i, h := range s.hosts {
		s.after(UpdateInterval*time.Duration(i)/time.Duration(len(s.hosts)), func() { s.update(h, i) })
	}
	for s.elapsed() < simDuration {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.run()
	}
}

func (s *sim) arrive(d *simDomain) {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate(d)*float64(time.Second)), func() {
		s.send(s.hosts[d.index*simHostsPerDomain+s.random.IntN(simHostsPerDomain)])
		s.arrive(d)
	})
}

func (s *sim) report() {
	for _, d := range s.domains {
		d.reports = append(d.reports, d.load())
	}
	s.after(simReportInterval, s.report)
}

// reported is what other domains know of the domain's load.
func (s *sim) reported(d *simDomain) int {
	return d.reports[max(0, len(d.reports)-1-int(simReportAge/simReportInterval))]
}

func (s *sim) update(h *simHost, index int) {
	home, away := h.home.Figure(), h.away.Figure()
	home.Available = h.domain.hasTarget
	away.Short = true
	for _, d := range s.domains {
		if d != h.domain && d.hasTarget {
			away.Available = true
			away.Short = away.Short && s.reported(d) > simSlots+simSlots/2
		}
	}
	h.share.Update(Input{
		Home: home, Away: away, Unmeasured: simService + 2*simOneWay, Bytes: h.meter.Mean(),
		Served: h.served, Refused: h.refused, Lost: h.lost, Prices: s.prices,
	}, s.now)
	h.served, h.refused, h.lost = 0, 0, 0
	if index%simHostsPerDomain == 0 {
		s.shareByDomain[h.domain.index] = append(s.shareByDomain[h.domain.index], h.share.Value())
	}
	if index == 0 {
		s.checkMutual()
	}
	s.after(UpdateInterval, func() { s.update(h, index) })
}

// checkMutual counts the updates before which two domains with targets sent each
// other work.
func (s *sim) checkMutual() {
	s.updates++
	mutual := false
	for i := range 4 {
		for j := range i {
			// more than 2 statements each way: less is within what a probe sends
			mutual = mutual || min(s.pairs[i][j], s.pairs[j][i]) > 2
		}
	}
	if mutual {
		s.mutualUpdates++
	}
	s.pairs = [4][4]int{}
}

// others returns the other domains with targets.
func (s *sim) others(d *simDomain) []*simDomain {
	return slices.DeleteFunc(slices.Clone(s.domains), func(o *simDomain) bool { return o == d || !o.hasTarget })
}

// pick draws two other domains and returns the one with the lower reported load, or
// nil if all were asked.
func (s *sim) pick(d *simDomain, asked []*simDomain) *simDomain {
	others := slices.DeleteFunc(s.others(d), func(o *simDomain) bool { return slices.Contains(asked, o) })
	if len(others) == 0 {
		return nil
	}
	s.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	best := others[0]
	if len(others) > 1 && s.reported(others[1]) < s.reported(best) {
		best = others[1]
	}
	return best
}

// leaves decides about one statement.
func (s *sim) leaves(h *simHost) bool {
	d := h.domain
	switch {
	case !d.hasTarget:
		return true
	case len(s.others(d)) == 0:
		return false
	}
	switch s.policy {
	case leaveIfFull:
		return d.load() >= simSlots+simSlots
	case byTime:
		best := slices.MinFunc(s.others(d), func(a, b *simDomain) int { return s.reported(a) - s.reported(b) })
		return d.expected(d.load()) > d.expected(s.reported(best))+2*simOneWay
	case byCost:
		w := Work{Goal: simGoal, TimeLeft: simDeadline, Priority: 1}
		if !s.blind {
			w.Home = d.expected(d.load())
			w.Queue = w.Home - d.expected(0)
		}
		return h.share.Leaves(w)
	}
	return false
}

func (s *sim) send(h *simHost) {
	arrived := s.now
	if !s.leaves(h) {
		s.sendHome(h, arrived, true)
		return
	}
	s.sendAway(h, arrived, nil)
}

// maxAway is the number of other domains that are asked to run a statement.
const maxAway = 3

// sendAway sends a statement to another domain. Domains in asked refused it.
func (s *sim) sendAway(h *simHost, arrived time.Time, asked []*simDomain) {
	to := s.pick(h.domain, asked)
	if to == nil || len(asked) == maxAway && h.domain.hasTarget {
		h.refused++
		s.sendHome(h, arrived, false)
		return
	}
	s.crossings++
	s.pairs[h.domain.index][to.index]++
	h.meter.Add(simBytes)
	s.after(simOneWay, func() { s.receive(h, to, arrived, append(asked, to)) })
}

// sendHome runs a statement at the domain's own target. mayLeave is set unless other
// domains refused it before.
func (s *sim) sendHome(h *simHost, arrived time.Time, mayLeave bool) {
	if !h.domain.hasTarget {
		s.finish(h, arrived, false)
		return
	}
	h.domain.intake.CountOwn(s.now)
	s.execute(h.domain, func(served bool) {
		took := s.now.Sub(arrived)
		if !served {
			took = simDeadline
		}
		h.home.Add(took, s.now)
		if !served && mayLeave && s.policy == byCost && h.share.SendsRefused(Work{Goal: simGoal, TimeLeft: simDeadline}, s.now) {
			s.refusedSent++
			s.sendAway(h, arrived, nil)
			return
		}
		s.finish(h, arrived, served)
	})
}

// receive handles a statement of another domain.
func (s *sim) receive(h *simHost, to *simDomain, arrived time.Time, asked []*simDomain) {
	ownWait := len(to.queue) > 0
	if s.policy == byCost && !to.intake.Admit(!h.domain.hasTarget, Capacity{Open: simSlots, Free: simSlots - to.load()}, s.now) {
		s.after(simOneWay, func() {
			s.sendAway(h, arrived, asked)
		})
		return
	}
	if ownWait && h.domain.hasTarget {
		s.foreignWhenBusy++
	}
	to.foreign++
	s.execute(to, func(served bool) {
		if s.cut != nil && s.cut(to, h.domain) {
			s.after(simDeadline-s.now.Sub(arrived), func() { s.abandon(h, arrived) })
			return
		}
		s.after(simOneWay, func() {
			took := s.now.Sub(arrived)
			if served {
				h.served++
			} else {
				h.refused++
				took = simDeadline
			}
			h.away.Add(took, s.now)
			s.finish(h, arrived, served)
		})
	})
}

// abandon ends a statement whose answer was lost.
func (s *sim) abandon(h *simHost, arrived time.Time) {
	h.lost++
	h.away.Add(simDeadline, s.now)
	s.finish(h, arrived, false)
}

// execute runs a statement at a target, which refuses it if its queue is full.
func (s *sim) execute(d *simDomain, done func(served bool)) {
	begin := func() {
		d.busy++
		d.served++
		took := s.random.ExpFloat64() * float64(simService) * d.slow(s.now)
		d.measured += (d.slow(s.now) - d.measured) / 32
		s.after(time.Duration(took), func() {
			d.busy--
			if len(d.queue) > 0 {
				next := d.queue[0]
				d.queue = d.queue[1:]
				next()
			}
			done(true)
		})
	}
	switch {
	case d.busy < simSlots:
		begin()
	case len(d.queue) < simQueue:
		d.queue = append(d.queue, begin)
	default:
		done(false)
	}
}

func (s *sim) finish(h *simHost, arrived time.Time, served bool) {
	if at := arrived.Sub(s.start); s.window[1] > 0 && (at < s.window[0] || at >= s.window[1]) {
		return
	}
	took := s.now.Sub(arrived)
	if !served || took > simDeadline {
		h.domain.lost++
		return
	}
	h.domain.waits = append(h.domain.waits, took)
}

// outcome is what the callers of some domains got.
type outcome struct {
	statements int
	mean, p95  time.Duration
	late, lost float64 // fractions; late includes lost
	megabytes  float64
	cost       float64 // of waits and bytes per thousand statements, with the whole deadline for a lost one
	mutual     float64 // fraction of the updates at which two domains sent each other work
}

func (s *sim) outcome(domains ...int) outcome {
	var waits []time.Duration
	lost := 0
	for _, d := range s.domains {
		if len(domains) == 0 || slices.Contains(domains, d.index) {
			waits = append(waits, d.waits...)
			lost += d.lost
		}
	}
	slices.Sort(waits)
	o := outcome{statements: len(waits) + lost, megabytes: float64(s.crossings) * simBytes / 1e6}
	var sum time.Duration
	late := lost
	for _, w := range waits {
		sum += w
		if w > simGoal {
			late++
		}
	}
	n := float64(o.statements)
	o.mean, o.p95 = sum/time.Duration(max(1, len(waits))), waits[len(waits)*95/100]
	o.late, o.lost = float64(late)/n, float64(lost)/n
	seconds := sum.Seconds() + float64(lost)*simDeadline.Seconds()
	o.cost = (seconds*s.prices.Second + o.megabytes/1e3*s.prices.Gigabyte) / n * 1000
	o.mutual = float64(s.mutualUpdates) / float64(max(1, s.updates))
	return o
}

func (o outcome) String() string {
	return fmt.Sprintf("%d statements: mean %s, 95%% %s, late %.4f, lost %.4f, %.1f MB across, cost %.2f, mutual %.2f",
		o.statements, o.mean.Round(100*time.Microsecond), o.p95.Round(100*time.Microsecond), o.late, o.lost, o.megabytes, o.cost, o.mutual)
}
