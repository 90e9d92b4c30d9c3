package pool

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// queueModel runs an admission against connections in simulated time.
type queueModel struct {
	q           *admission
	connections int
	busy        int
	now         time.Time
	events      eventHeap
	random      *rand.Rand
	service     time.Duration // mean
	fifo        bool          // for comparison: arrivals in their order
	serve       func(a arrival, waited time.Duration)
	refuse      func(a arrival, after time.Duration)
	waiting     map[*ticket]simulated
	order       []*ticket
}

type simulated struct {
	arrival
	at time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newQueueModel(service time.Duration) *queueModel {
	m := &queueModel{
		q: newAdmission(queueBound), connections: 6, now: t0, random: rand.New(rand.NewPCG(1, 2)),
		service: service, waiting: map[*ticket]simulated{},
	}
	m.q.times.observe("flood", service)
	return m
}

func (m *queueModel) at(d time.Duration, do func()) {
	heap.Push(&m.events, event{at: m.now.Add(d), do: do})
}

func (m *queueModel) arrive(a arrival) {
	if m.busy < m.connections {
		m.start(simulated{a, m.now})
		return
	}
	t, evicted, refusal := m.q.push(m.now, a, m.connections, m.busy)
	if evicted != nil {
		m.refuse(m.waiting[evicted].arrival, m.q.full(m.now, m.connections).RetryAfter)
		delete(m.waiting, evicted)
	}
	if refusal != nil {
		m.refuse(a, refusal.RetryAfter)
		return
	}
	m.waiting[t] = simulated{a, m.now}
	m.order = append(m.order, t)
}

func (m *queueModel) start(s simulated) {
	m.busy++
	m.serve(s.arrival, m.now.Sub(s.at))
	used := time.Duration(m.random.ExpFloat64() * float64(m.service))
	m.at(used, func() {
		m.busy--
		m.q.times.observe(s.customer, used)
		if t := m.pop(); t != nil {
			next := m.waiting[t]
			delete(m.waiting, t)
			m.start(next)
		}
	})
}

func (m *queueModel) pop() *ticket {
	if !m.fifo {
		return m.q.pop()
	}
	for len(m.order) > 0 {
		t := m.order[0]
		m.order = m.order[1:]
		if m.q.remove(t) {
			return t
		}
	}
	return nil
}

func (m *queueModel) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at.Sub(t0) <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

// quietWait returns the longest wait of a customer with a request each 20 ms
// beside one that sends three times what the connections can serve.
func quietWait(fifo bool) time.Duration {
	const service = 5 * time.Millisecond
	m := newQueueModel(service)
	m.fifo = fifo
	var longest time.Duration
	m.serve = func(a arrival, waited time.Duration) {
		if a.customer == "quiet" {
			longest = max(longest, waited)
		}
	}
	m.refuse = func(arrival, time.Duration) {}
	var flood, quiet func()
	flood = func() {
		m.arrive(arrival{"flood", 1, time.Second, 0})
		m.at(service/time.Duration(3*m.connections), flood)
	}
	quiet = func() {
		m.arrive(arrival{"quiet", 1, time.Second, 0})
		m.at(20*time.Millisecond, quiet)
	}
	flood()
	quiet()
	m.run(20 * time.Second)
	return longest
}

func TestQuietCustomerBesideAFlood(t *testing.T) {
	fair, fifo := quietWait(false), quietWait(true)
	t.Logf("longest wait of the quiet customer: fair %s, in order of arrival %s", fair, fifo)
	qt.Assert(t, fair < 25*time.Millisecond, qt.IsTrue, qt.Commentf("%s", fair))
	qt.Assert(t, fifo > 4*fair, qt.IsTrue, qt.Commentf("%s", fifo))
}

// Of a burst that the queue can't take, those refused come back when they were
// told, and are served then.
func TestComingBackWhenToldIsServed(t *testing.T) {
	m := newQueueModel(5 * time.Millisecond)
	const burst = 800
	served, refused, again := 0, 0, 0
	m.serve = func(arrival, time.Duration) { served++ }
	m.refuse = func(a arrival, after time.Duration) {
		if a.customer == "back" {
			again++
			return
		}
		refused++
		a.customer = "back"
		m.at(after, func() { m.arrive(a) })
	}
	for range burst {
		m.arrive(arrival{"flood", 1, 100 * time.Millisecond, 0})
	}
	m.run(time.Minute)
	t.Logf("%d of %d refused at first, %d of these again", refused, burst, again)
	qt.Assert(t, served+again, qt.Equals, burst)
	qt.Assert(t, refused > burst/2, qt.IsTrue)
	qt.Assert(t, again <= refused/20, qt.IsTrue)
}
