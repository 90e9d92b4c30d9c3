package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// The simulated load: many hosts without connections send statements to a few
// hosts that hold some, and rarely receive reports of their load.
const (
	simHosts          = 86
	simHolders        = 7
	simConns          = 3                     // connections of each holder to the leader
	simHold           = 12 * time.Millisecond // all holders together serve 1,750 statements a second
	simRate           = 1300                  // statements a second, three quarters of the capacity
	simDuration       = 20 * time.Second
	simRoundTrip      = 1 * time.Millisecond  // to a holder and back
	simReportInterval = 8 * time.Second       // between two load reports of a holder to a host
	simAcceptableWait = 20 * time.Millisecond // almost all statements should wait no longer than this
)

// event is an action at a point in simulated time.
type event struct {
	at     time.Time
	action func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// holder is a host that runs up to simConns statements at once and queues the
// others.
type holder struct {
	id      topology.HostID
	busy    int
	queue   []func()
	started int
}

func (h *holder) load() Load {
	free := simConns - h.busy - len(h.queue)
	return Load{Idle: free, LeaderIdle: free}
}

// simFleet is a fleet with a simulated clock.
type simFleet struct {
	now          time.Time
	events       eventHeap
	random       *rand.Rand
	holders      []*holder
	loads        []Loads // known loads by host
	offersByHost [][]Offer
	waits        []time.Duration
}

func newSimFleet() *simFleet {
	s := &simFleet{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(3, 4)), loads: make([]Loads, simHosts)}
	for i := range simHolders {
		s.holders = append(s.holders, &holder{id: topology.HostID(fmt.Sprint("holder-", i))})
	}
	for host := range simHosts {
		var offers []Offer
		for i, h := range s.holders {
			offers = append(offers, Offer{Host: h.id, Leads: true, SameDomain: i%3 == host%3})
		}
		s.offersByHost = append(s.offersByHost, offers)
		for i := range s.holders {
			s.after(time.Duration(s.random.Int64N(int64(simReportInterval))), func() { s.reportLoad(host, i) })
		}
	}
	return s
}

func (s *simFleet) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now.Add(d), do}) }

// reportLoad reports a holder's load to a host. The report is dropped after
// loadTTL, and the next one follows after simReportInterval.
func (s *simFleet) reportLoad(host, holderIndex int) {
	o := &s.offersByHost[host][holderIndex]
	o.Load, o.RequestedAt = s.holders[holderIndex].load(), s.now
	s.after(loadTTL, func() { o.Load, o.RequestedAt = Load{}, time.Time{} })
	s.after(simReportInterval, func() { s.reportLoad(host, holderIndex) })
}

// send sends a statement from a host. asked are the holders that had no free
// connection for it. The last holder to be asked queues the statement.
func (s *simFleet) send(host int, arrived time.Time, asked []topology.HostID) {
	offers := s.loads[host].CurrentOffers("g", s.offersByHost[host], s.now)
	o, _ := Pick(offers, Requirements{NeedsLeader: true, Exclude: asked}, s.random.IntN)
	s.loads[host].RecordSent(o.Host, "g", s.now)
	i := slices.IndexFunc(s.holders, func(h *holder) bool { return h.id == o.Host })
	h := s.holders[i]
	if h.busy == simConns && len(asked)+1 < MaxHostsAsked {
		load := h.load()
		s.after(simRoundTrip, func() {
			s.loads[host].RecordAnswer(h.id, "g", load, s.now)
			s.send(host, arrived, append(asked, h.id))
		})
		return
	}
	s.execute(h, host, arrived)
}

func (s *simFleet) execute(h *holder, host int, arrived time.Time) {
	run := func() {
		s.waits = append(s.waits, s.now.Sub(arrived))
		h.busy++
		h.started++
		s.after(time.Duration(s.random.ExpFloat64()*float64(simHold)), func() { s.finish(h, host) })
	}
	if h.busy < simConns {
		run()
		return
	}
	h.queue = append(h.queue, run)
}

func (s *simFleet) finish(h *holder, host int) {
	h.busy--
	if len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		next()
	}
	s.loads[host].RecordAnswer(h.id, "g", h.load(), s.now)
}

func (s *simFleet) run() {
	end := s.now.Add(simDuration)
	var arrive func()
	arrive = func() {
		s.send(s.random.IntN(simHosts), s.now, nil)
		s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/simRate), arrive)
	}
	arrive()
	for s.now.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
}

// A load of three quarters of the holders' joint capacity must be spread so
// that few statements wait. Otherwise the first holder according to the plan is
// overloaded: in one simulated day it got 70 of 100 statements, and its callers
// waited or were refused.
func TestLoadBelowCapacityRarelyWaits(t *testing.T) {
	sim := newSimFleet()
	sim.run()
	longWaits, busiest, total := 0, 0, 0
	for _, wait := range sim.waits {
		if wait > simAcceptableWait {
			longWaits++
		}
	}
	for _, h := range sim.holders {
		busiest, total = max(busiest, h.started), total+h.started
	}
	t.Logf("%d of %d waited longer than %s; the busiest holder ran %d of %d", longWaits, len(sim.waits), simAcceptableWait, busiest, total)
	qt.Check(t, longWaits < len(sim.waits)/20, qt.IsTrue)
	qt.Check(t, busiest*simHolders < total*3/2, qt.IsTrue)
}
