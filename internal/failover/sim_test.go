package failover

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	simReplicationInterval = 10 * time.Millisecond
	simWriteInterval       = 25 * time.Millisecond
	simRequestTimeout      = 400 * time.Millisecond // for requests whose answer is lost
)

// simEvent is a function that is scheduled at a point of simulated time.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simHost is a host with its machine. Events that arrive while the host is paused
// are queued.
type simHost struct {
	id           topology.HostID
	machine      *Machine
	paused       bool
	queuedEvents []Event
}

// promotion records the log of a target when it became primary.
type promotion struct {
	term   uint64
	target topology.TargetID
	log    []uint64
}

// simulation runs machines against simulated targets in simulated time, on a
// network that loses and delays messages. The last violation of a safety property
// is kept in violation.
type simulation struct {
	rand                *rand.Rand
	now                 time.Time
	seq                 int
	queue               simQueue
	group               topology.Group
	hosts               []*simHost
	targets             map[topology.TargetID]*simTarget
	lossRate            float64       // share of messages that are lost
	replicationSkipRate float64       // share of replication steps that are skipped
	maxDelay            time.Duration // one-way message delay
	cutLinks            map[string]bool
	lastWrites          map[uint64]topology.Position // last write of each term
	replicationLag      int                          // number of entries by which replicas lag
	lastPrimaryTerms    map[topology.TargetID]uint64 // latest term in which each target was primary
	promotions          []promotion
	confirmed           []topology.Position
	orderCount          int                                  // number of orders sent
	onOrder             func(*simHost, Order) (handled bool) // nil: orders are requests like others
	violation           error
}

func newSimulation(seed uint64, hosts, targets int) *simulation {
	s := &simulation{
		rand:             rand.New(rand.NewPCG(seed, seed)),
		now:              time.Unix(1_000_000, 0),
		targets:          map[topology.TargetID]*simTarget{},
		cutLinks:         map[string]bool{},
		lastWrites:       map[uint64]topology.Position{},
		lastPrimaryTerms: map[topology.TargetID]uint64{"t0": 1},
		maxDelay:         2 * time.Millisecond,
		group:            topology.Group{ID: "g", Term: 1, Primary: "t0"},
	}
	for i := range targets {
		id := topology.TargetID(fmt.Sprintf("t%d", i))
		s.group.Targets = append(s.group.Targets, topology.Target{ID: id, Group: "g", Domain: topology.Domain(fmt.Sprintf("d%d", i))})
		s.targets[id] = &simTarget{id: id, role: target.Replica, term: 1, primary: "t0", log: []uint64{1}}
	}
	s.targets["t0"].role = target.Primary
	for i := range hosts {
		h := &simHost{id: topology.HostID(fmt.Sprintf("h%d", i))}
		h.machine = NewMachine(h.id, s.group, TimingsFor(1), customer.AckMajority, s.now)
		s.hosts = append(s.hosts, h)
		s.every(TickInterval, func() { s.step(h, Tick{}) })
	}
	s.every(simReplicationInterval, s.replicate)
	s.every(simWriteInterval, s.write)
	return s
}

// orderedTargets returns the targets in the order of the group.
func (s *simulation) orderedTargets() []*simTarget {
	targets := make([]*simTarget, len(s.group.Targets))
	for i, t := range s.group.Targets {
		targets[i] = s.targets[t.ID]
	}
	return targets
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, run: do})
}

func (s *simulation) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}

// run advances the simulated time by d.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for s.violation == nil && len(s.queue) > 0 && !s.queue[0].at.After(end) {
		ev := heap.Pop(&s.queue).(simEvent)
		s.now = ev.at
		ev.run()
	}
	s.now = end
}

// send delivers a message after a random delay unless the message is lost.
func (s *simulation) send(from, to string, deliver func()) {
	if s.cutLinks[from+">"+to] || s.rand.Float64() < s.lossRate {
		return
	}
	s.after(time.Duration(s.rand.Int64N(int64(s.maxDelay)+1)), deliver)
}

// request sends a request to a target and delivers the answer. If no answer
// arrives in time, it delivers the event that failed returns.
func (s *simulation) request(h *simHost, id topology.TargetID, handle func(*simTarget) Event, failed func() Event) {
	answered := false
	finish := func(ev Event) {
		if !answered {
			answered = true
			s.step(h, ev)
		}
	}
	s.send(string(h.id), string(id), func() {
		t := s.targets[id]
		if t.down {
			s.send(string(id), string(h.id), func() { finish(failed()) })
			return
		}
		ev := handle(t)
		s.send(string(id), string(h.id), func() { finish(ev) })
	})
	s.after(simRequestTimeout, func() { finish(failed()) })
}

func (s *simulation) step(h *simHost, ev Event) {
	if h.paused {
		if _, tick := ev.(Tick); !tick {
			h.queuedEvents = append(h.queuedEvents, ev)
		}
		return
	}
	for _, a := range h.machine.Step(s.now, ev) {
		s.execute(h, a)
	}
}

func (s *simulation) pause(h *simHost, d time.Duration) {
	h.paused = true
	s.after(d, func() {
		h.paused = false
		events := h.queuedEvents
		h.queuedEvents = nil
		for _, ev := range events {
			s.step(h, ev)
		}
	})
}

func (s *simulation) execute(h *simHost, a Action) {
	sentAt := s.now
	switch a := a.(type) {
	case Poll:
		s.request(h, a.Target,
			func(t *simTarget) Event { return StatusAnswered{Status: t.status(), SentAt: sentAt} },
			func() Event { return StatusFailed{Target: a.Target, SentAt: sentAt} })
	case Probe:
		s.probe(h, a.Target)
	case RequestOpinions:
		s.gatherOpinions(h, a.Attempt)
	case SendOrder:
		s.orderCount++
		if s.onOrder != nil && s.onOrder(h, a.Order) {
			return
		}
		s.request(h, a.Order.Target,
			func(t *simTarget) Event { return s.executeOrder(t, a.Order, sentAt) },
			func() Event { return OrderFinished{Order: a.Order, Result: OrderUnknown, SentAt: sentAt} })
	}
}

func (s *simulation) probe(h *simHost, id topology.TargetID) {
	sentAt := s.now
	result := ProbeTimedOut
	s.request(h, id,
		func(*simTarget) Event { return ProbeFinished{Target: id, Result: ProbeAnswered, SentAt: sentAt} },
		func() Event {
			if s.targets[id].down && !s.cutLinks[string(h.id)+">"+string(id)] {
				result = ProbeRefused
			}
			return ProbeFinished{Target: id, Result: result, SentAt: sentAt}
		})
}

// gatherOpinions collects the opinions of the hosts that can be reached in both
// directions in time.
func (s *simulation) gatherOpinions(h *simHost, attempt uint64) {
	var opinions []Opinion
	for _, other := range s.hosts {
		if other == h || other.paused {
			continue
		}
		s.send(string(h.id), string(other.id), func() {
			requestedAt := s.now
			s.step(other, OpinionRequested{})
			s.after(freshStatusTimeout, func() {
				o := other.machine.Opinion(s.now, requestedAt)
				s.send(string(other.id), string(h.id), func() { opinions = append(opinions, o) })
			})
		})
	}
	s.after(opinionsTimeout, func() { s.step(h, OpinionsGathered{Attempt: attempt, Opinions: opinions}) })
}

func (s *simulation) replicate() {
	for _, t := range s.orderedTargets() {
		source := s.targets[t.primary]
		if source == nil || source == t || t.down || source.down || s.rand.Float64() < s.replicationSkipRate {
			continue
		}
		if s.cutLinks[string(t.id)+">"+string(source.id)] || s.cutLinks[string(source.id)+">"+string(t.id)] {
			continue
		}
		t.replicateFrom(source, s.lastPrimaryTerms[source.id], s.replicationLag)
	}
}

// write lets every target that is primary in its own view commit an entry, and
// lets a random host confirm each commit in the way the poller does.
func (s *simulation) write() {
	for _, p := range s.orderedTargets() {
		if p.down || p.role != target.Primary {
			continue
		}
		p.log = append(p.log, p.term)
		s.lastWrites[p.term] = p.received()
		s.confirm(s.hosts[s.rand.IntN(len(s.hosts))], p.received())
	}
}
