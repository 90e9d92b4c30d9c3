package pool

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// queueSim runs an admissionQueue against connections in simulated time.
type queueSim struct {
	q           *admissionQueue
	connections int
	busy        int
	now         time.Time
	events      eventHeap
	random      *rand.Rand
	service     time.Duration // mean service time
	fifo        bool          // for comparison: serve in order of arrival
	onServe     func(a arrival, waited time.Duration)
	onRefuse    func(a arrival, after time.Duration)
	waiting     map[*ticket]simRequest
	order       []*ticket
}

type simRequest struct {
	arrival
	arrivedAt time.Time
}

type event struct {
	at  time.Time
	run func()
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

func newQueueSim(service time.Duration) *queueSim {
	m := &queueSim{
		q: newAdmissionQueue(maxQueuedRequests), connections: 6, now: t0, random: rand.New(rand.NewPCG(1, 2)),
		service: service, waiting: map[*ticket]simRequest{},
	}
	m.q.times.record("flood", service)
	return m
}

func (m *queueSim) schedule(d time.Duration, run func()) {
	heap.Push(&m.events, event{at: m.now.Add(d), run: run})
}

func (m *queueSim) arrive(a arrival) {
	if m.busy < m.connections {
		m.start(simRequest{a, m.now})
		return
	}
	t, evicted, refusal := m.q.push(m.now, a, m.connections, m.busy)
	if evicted != nil {
		m.onRefuse(m.waiting[evicted].arrival, m.q.queueFullRefusal(m.now, m.connections).RetryAfter)
		delete(m.waiting, evicted)
	}
	if refusal != nil {
		m.onRefuse(a, refusal.RetryAfter)
		return
	}
	m.waiting[t] = simRequest{a, m.now}
	m.order = append(m.order, t)
}

func (m *queueSim) start(s simRequest) {
	m.busy++
	m.onServe(s.arrival, m.now.Sub(s.arrivedAt))
	used := time.Duration(m.random.ExpFloat64() * float64(m.service))
	m.schedule(used, func() {
		m.busy--
		m.q.times.record(s.customer, used)
		if t := m.pop(); t != nil {
			next := m.waiting[t]
			delete(m.waiting, t)
			m.start(next)
		}
	})
}

func (m *queueSim) pop() *ticket {
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

func (m *queueSim) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at.Sub(t0) <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// longestLightWait returns the longest wait of a customer that sends a request
// every 20 ms, beside a customer that sends three times what the connections
// can serve.
func longestLightWait(fifo bool) time.Duration {
	const service = 5 * time.Millisecond
	m := newQueueSim(service)
	m.fifo = fifo
	var longest time.Duration
	m.onServe = func(a arrival, waited time.Duration) {
		if a.customer == "quiet" {
			longest = max(longest, waited)
		}
	}
	m.onRefuse = func(arrival, time.Duration) {}
	var sendFlood, sendLight func()
	sendFlood = func() {
		m.arrive(arrival{"flood", 1, time.Second, 0})
		m.schedule(service/time.Duration(3*m.connections), sendFlood)
	}
	sendLight = func() {
		m.arrive(arrival{"quiet", 1, time.Second, 0})
		m.schedule(20*time.Millisecond, sendLight)
	}
	sendFlood()
	sendLight()
	m.run(20 * time.Second)
	return longest
}

func TestLightCustomerWaitIsBoundedUnderFlood(t *testing.T) {
	fair, fifo := longestLightWait(false), longestLightWait(true)
	t.Logf("longest wait of the quiet customer: fair %s, in order of arrival %s", fair, fifo)
	qt.Assert(t, fair < 25*time.Millisecond, qt.IsTrue, qt.Commentf("%s", fair))
	qt.Assert(t, fifo > 4*fair, qt.IsTrue, qt.Commentf("%s", fifo))
}

// Requests of a burst that the queue refuses are retried after their RetryAfter
// and are served then.
func TestRefusedRequestsAreServedAfterRetryAfter(t *testing.T) {
	m := newQueueSim(5 * time.Millisecond)
	const burst = 800
	served, refused, refusedAgain := 0, 0, 0
	m.onServe = func(arrival, time.Duration) { served++ }
	m.onRefuse = func(a arrival, after time.Duration) {
		if a.customer == "back" {
			refusedAgain++
			return
		}
		refused++
		a.customer = "back"
		m.schedule(after, func() { m.arrive(a) })
	}
	for range burst {
		m.arrive(arrival{"flood", 1, 100 * time.Millisecond, 0})
	}
	m.run(time.Minute)
	t.Logf("%d of %d refused at first, %d of these again", refused, burst, refusedAgain)
	qt.Assert(t, served+refusedAgain, qt.Equals, burst)
	qt.Assert(t, refused > burst/2, qt.IsTrue)
	qt.Assert(t, refusedAgain <= refused/20, qt.IsTrue)
}
