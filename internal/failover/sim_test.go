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
	simPull    = 10 * time.Millisecond
	simWrite   = 25 * time.Millisecond
	simTimeout = 400 * time.Millisecond // of requests whose answer is lost
)

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Time
	seq int
	do  func()
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

// simHost is one host with its machine. While paused, what happens to it waits.
type simHost struct {
	id      topology.HostID
	machine *Machine
	paused  bool
	waiting []Event
}

// promotion is what a target had when it became primary.
type promotion struct {
	term   uint64
	target topology.TargetID
	log    []uint64
}

// simulation runs machines against targets on a network that loses and delays
// messages, in its own time. Violations of what must hold end up in broken.
type simulation struct {
	rand       *rand.Rand
	now        time.Time
	seq        int
	queue      simQueue
	group      topology.Group
	hosts      []*simHost
	targets    map[topology.TargetID]*simTarget
	loss       float64       // of messages
	late       float64       // share of replication steps that are left out
	delay      time.Duration // longest, one way
	cut        map[string]bool
	written    map[uint64]topology.Position // last write of each term
	hidden     int                          // entries by which replicas receive late
	led        map[topology.TargetID]uint64 // latest term as primary
	promotions []promotion
	confirmed  []topology.Position
	calls      int // orders given
	broken     error
}

func newSimulation(seed uint64, hosts, targets int) *simulation {
	s := &simulation{
		rand:    rand.New(rand.NewPCG(seed, seed)),
		now:     time.Unix(1_000_000, 0),
		targets: map[topology.TargetID]*simTarget{},
		cut:     map[string]bool{},
		written: map[uint64]topology.Position{},
		led:     map[topology.TargetID]uint64{"t0": 1},
		delay:   2 * time.Millisecond,
		group:   topology.Group{ID: "g", Term: 1, Primary: "t0"},
	}
	for i := range targets {
		id := topology.TargetID(fmt.Sprintf("t%d", i))
		s.group.Targets = append(s.group.Targets, topology.Target{ID: id, Group: "g", Domain: topology.Domain(fmt.Sprintf("d%d", i))})
		s.targets[id] = &simTarget{id: id, role: target.Replica, term: 1, primary: "t0", log: []uint64{1}}
	}
	s.targets["t0"].role = target.Primary
	for i := range hosts {
		h := &simHost{id: topology.HostID(fmt.Sprintf("h%d", i))}
		h.machine = NewMachine(h.id, s.group, TimesFor(1), customer.AckMajority, s.now)
		s.hosts = append(s.hosts, h)
		s.every(TickInterval, func() { s.step(h, Tick{}) })
	}
	s.every(simPull, s.replicate)
	s.every(simWrite, s.write)
	return s
}

// all returns the targets in the group's order.
func (s *simulation) all() []*simTarget {
	targets := make([]*simTarget, len(s.group.Targets))
	for i, t := range s.group.Targets {
		targets[i] = s.targets[t.ID]
	}
	return targets
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *simulation) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}

// run lets d pass.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for s.broken == nil && len(s.queue) > 0 && !s.queue[0].at.After(end) {
		ev := heap.Pop(&s.queue).(simEvent)
		s.now = ev.at
		ev.do()
	}
	s.now = end
}

// send delivers a message unless it is lost.
func (s *simulation) send(from, to string, deliver func()) {
	if s.cut[from+">"+to] || s.rand.Float64() < s.loss {
		return
	}
	s.after(time.Duration(s.rand.Int64N(int64(s.delay)+1)), deliver)
}

// request sends a request to a target and its answer back; without an answer
// in time failed is called.
func (s *simulation) request(h *simHost, id topology.TargetID, serve func(*simTarget) Event, failed func() Event) {
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
		ev := serve(t)
		s.send(string(id), string(h.id), func() { finish(ev) })
	})
	s.after(simTimeout, func() { finish(failed()) })
}

func (s *simulation) step(h *simHost, ev Event) {
	if h.paused {
		if _, tick := ev.(Tick); !tick {
			h.waiting = append(h.waiting, ev)
		}
		return
	}
	for _, a := range h.machine.Step(s.now, ev) {
		s.act(h, a)
	}
}

func (s *simulation) pause(h *simHost, d time.Duration) {
	h.paused = true
	s.after(d, func() {
		h.paused = false
		waiting := h.waiting
		h.waiting = nil
		for _, ev := range waiting {
			s.step(h, ev)
		}
	})
}

func (s *simulation) act(h *simHost, a Action) {
	sentAt := s.now
	switch a := a.(type) {
	case Poll:
		s.request(h, a.Target,
			func(t *simTarget) Event { return StatusAnswered{Status: t.status(), SentAt: sentAt} },
			func() Event { return StatusFailed{Target: a.Target, SentAt: sentAt} })
	case Probe:
		s.probe(h, a.Target)
	case Ask:
		s.ask(h, a.Attempt)
	case Give:
		s.calls++
		s.request(h, a.Order.Target,
			func(t *simTarget) Event { return s.carryOut(t, a.Order, sentAt) },
			func() Event { return OrderDoneEvent{Order: a.Order, Result: OrderUnknown, SentAt: sentAt} })
	}
}

func (s *simulation) probe(h *simHost, id topology.TargetID) {
	sentAt := s.now
	result := ProbeSilent
	s.request(h, id,
		func(*simTarget) Event { return ProbeDone{Target: id, Result: ProbeAnswered, SentAt: sentAt} },
		func() Event {
			if s.targets[id].down && !s.cut[string(h.id)+">"+string(id)] {
				result = ProbeRefused
			}
			return ProbeDone{Target: id, Result: result, SentAt: sentAt}
		})
}

// ask gathers the opinions of hosts that can be reached both ways in time.
func (s *simulation) ask(h *simHost, attempt uint64) {
	var opinions []Opinion
	for _, other := range s.hosts {
		if other == h || other.paused {
			continue
		}
		s.send(string(h.id), string(other.id), func() {
			asked := s.now
			s.step(other, Asked{})
			s.after(settleTimeout, func() {
				o := other.machine.Opinion(s.now, asked)
				s.send(string(other.id), string(h.id), func() { opinions = append(opinions, o) })
			})
		})
	}
	s.after(opinionsTimeout, func() { s.step(h, OpinionsGathered{Attempt: attempt, Opinions: opinions}) })
}

func (s *simulation) replicate() {
	for _, t := range s.all() {
		from := s.targets[t.primary]
		if from == nil || from == t || t.down || from.down || s.rand.Float64() < s.late {
			continue
		}
		if s.cut[string(t.id)+">"+string(from.id)] || s.cut[string(from.id)+">"+string(t.id)] {
			continue
		}
		t.pull(from, s.led[from.id], s.hidden)
	}
}

// write lets every target that takes itself for the primary commit, and a host
// confirm the commit as the poller does.
func (s *simulation) write() {
	for _, p := range s.all() {
		if p.down || p.role != target.Primary {
			continue
		}
		p.log = append(p.log, p.term)
		s.written[p.term] = p.received()
		s.confirm(s.hosts[s.rand.IntN(len(s.hosts))], p.received())
	}
}
