package retryafter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The simulation has one target before hosts that refuse callers, in virtual time. Callers
// retry at most twice within their deadline: at the time that they were told, or after a
// backoff of their own if they were told none.
const (
	simSlots    = 4
	simService  = 14 * time.Millisecond
	simCapacity = float64(simSlots) / 0.014 // statements a second
	simMaxWait  = 186 * time.Millisecond    // latency goal of 200 ms less the statement's time
	simDeadline = 1200 * time.Millisecond
	simDuration = 8 * time.Second
	simTries    = 3
)

type simCaller struct {
	host     int
	priority int
	deadline time.Time
	tries    int
	refused  bool
}

type simEvent struct {
	at     time.Time
	caller *simCaller // nil: a statement ends
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	told      bool // callers are told times
	downFrom  time.Duration
	downUntil time.Duration
	predicted bool // the end is known in advance, as for a promotion
	hosts     []*Schedule
	random    *rand.Rand
	events    simEvents
	running   int
	waiting   int
	served    int         // of those that were refused before
	refused   int         // callers refused at least once
	returns   []time.Time // times at which refused callers came back
}

func newSimulation(hosts int, told bool) *simulation {
	s := &simulation{told: told, random: rand.New(rand.NewPCG(7, 7))}
	for range hosts {
		s.hosts = append(s.hosts, NewSchedule(startTime.Add(-time.Duration(s.random.Int64N(int64(time.Second))))))
	}
	return s
}

func (s *simulation) push(at time.Time, c *simCaller) { heap.Push(&s.events, simEvent{at, c}) }

// arrive adds callers at a rate until the end, and a crowd at one moment.
func (s *simulation) arrive(perSecond float64, crowd int, crowdAt time.Duration) {
	add := func(at time.Time) {
		s.push(at, &simCaller{host: s.random.IntN(len(s.hosts)), priority: s.random.IntN(2), deadline: at.Add(simDeadline)})
	}
	for at := startTime; at.Before(startTime.Add(simDuration)); at = at.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))) {
		add(at)
	}
	for range crowd {
		add(startTime.Add(crowdAt + time.Duration(s.random.Int64N(int64(20*time.Millisecond)))))
	}
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.caller == nil {
			s.running--
			if s.waiting > 0 {
				s.waiting--
				s.start(e.at)
			}
			continue
		}
		s.try(e.at, e.caller)
	}
}

func (s *simulation) start(now time.Time) {
	s.running++
	s.push(now.Add(simService), nil)
}

func (s *simulation) try(now time.Time, c *simCaller) {
	c.tries++
	if c.refused {
		s.returns = append(s.returns, now)
	}
	since := now.Sub(startTime)
	down := since >= s.downFrom && since < s.downUntil
	wait := time.Duration(0)
	if s.running >= simSlots {
		wait = time.Duration(s.waiting+1) * simService / simSlots
	}
	if !down && wait <= simMaxWait && !now.Add(wait+simService).After(c.deadline) {
		if c.refused {
			s.served++
		}
		for _, h := range s.hosts {
			h.NoteServed(true)
		}
		if s.running < simSlots {
			s.start(now)
		} else {
			s.waiting++
		}
		return
	}
	if !c.refused {
		c.refused = true
		s.refused++
	}
	if c.tries == simTries {
		return
	}
	backoff := time.Duration(20+s.random.IntN(40)) * time.Millisecond << (c.tries - 1)
	if s.told {
		r := Refusal{Reason: QueueTooLong, Priority: c.priority, Left: simDeadline - simService, In: wait - simMaxWait, Rate: simCapacity / float64(len(s.hosts))}
		if down {
			r.Reason, r.In = NoLeader, 0
			if s.predicted {
				r.In = s.downUntil - since
			}
		}
		if after, ok := s.hosts[c.host].Next(now, &r); ok {
			backoff = after
		}
	}
	if at := now.Add(backoff); at.Add(simService).Before(c.deadline) {
		s.push(at, c)
	}
}

// mostReturns returns the largest number of returns within a window that begins between the
// times.
func (s *simulation) mostReturns(from, until, window time.Duration) int {
	most := 0
	for i, first := range s.returns {
		since := first.Sub(startTime)
		if since < from || since >= until {
			continue
		}
		n := 0
		for _, other := range s.returns[i:] {
			if other.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Without times, most of a crowd that is refused together uses up its retries while the
// queue is still full.
func TestRefusedCrowdIsServed(t *testing.T) {
	served := map[bool]float64{}
	for _, told := range []bool{false, true} {
		s := newSimulation(1, told)
		s.arrive(0.6*simCapacity, 300, time.Second)
		s.run()
		served[told] = float64(s.served) / float64(s.refused)
		t.Logf("told %t: %d of %d refused callers served", told, s.served, s.refused)
	}
	qt.Check(t, served[true] > 0.55, qt.IsTrue)
	qt.Check(t, served[true] > 2*served[false], qt.IsTrue)
}

// Callers refused during a promotion are served after it, and don't come together at its end.
func TestCallersReturnSpreadAfterChangeOfLeader(t *testing.T) {
	served := map[bool]float64{}
	for _, told := range []bool{false, true} {
		s := newSimulation(20, told)
		s.downFrom, s.downUntil, s.predicted = time.Second, 2200*time.Millisecond, true
		s.arrive(0.6*simCapacity, 0, 0)
		s.run()
		served[told] = float64(s.served) / float64(s.refused)
		most := s.mostReturns(s.downUntil, s.downUntil+time.Second, 100*time.Millisecond)
		t.Logf("told %t: %d of %d refused callers served, at most %d returns in 100 ms", told, s.served, s.refused, most)
		if told {
			// The target serves 28 in that time. All of them at the end would be 200.
			qt.Check(t, most <= 28, qt.IsTrue)
		}
	}
	// New requests leave room for 114 a second of about 175, whose deadlines end in the meantime.
	qt.Check(t, served[true] > 0.5, qt.IsTrue)
	qt.Check(t, served[true] > 3*served[false], qt.IsTrue)
}

// Nothing tells when an unreachable domain returns. Its callers come back spread over the
// slots that they were given, and load the hosts little while it is away.
func TestCallersReturnSpreadAfterReturnOfDomain(t *testing.T) {
	tries := map[bool]int{}
	served := map[bool]float64{}
	for _, told := range []bool{false, true} {
		s := newSimulation(20, told)
		s.downFrom, s.downUntil = time.Second, 4*time.Second
		s.arrive(0.6*simCapacity, 0, 0)
		s.run()
		served[told] = float64(s.served) / float64(s.refused)
		most := s.mostReturns(s.downUntil, s.downUntil+time.Second, 100*time.Millisecond)
		tries[told] = len(s.returns)
		t.Logf("told %t: %d of %d refused callers served, %d returns, at most %d of them in 100 ms after the return", told, s.served, s.refused, tries[told], most)
		if told {
			qt.Check(t, most <= 28, qt.IsTrue)
		}
	}
	qt.Check(t, tries[true] < tries[false], qt.IsTrue)
	qt.Check(t, served[true] > 2*served[false], qt.IsTrue)
}
