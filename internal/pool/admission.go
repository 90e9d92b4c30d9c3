package pool

import (
	"container/heap"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	maxQueuedRequests   = 256                    // per slot
	maxQueuedBytes      = 32 << 20               // message bytes of the requests queued at one slot
	maxRetryAfter       = 2 * time.Second        // estimates further ahead are unreliable
	minRetryAfter       = 5 * time.Millisecond   // an earlier retry finds the same queue
	retrySpacingPercent = 110                    // of the mean time between two completed requests
	minRequestCost      = 100 * time.Microsecond // charged for a request of unknown or tiny cost
	minWeight           = 1e-3                   // for a customer without a cost share
)

// admissionQueue is the request queue of one slot. It implements self-clocked
// weighted fair queueing by customer: the cost of a request is the time it uses
// a connection, and the virtual time is the finish tag of the request served
// last. When the queue is full, the customer with the most queued requests
// relative to its weight loses one. Not safe for concurrent use.
type admissionQueue struct {
	maxRequests       int
	queuedBytes       int // message bytes of the queued requests
	tickets           ticketHeap
	virtualTime       float64
	lastFinishTag     map[topology.CustomerID]float64 // of the customer's last ticket
	waitingByCustomer map[topology.CustomerID]int
	times             serviceTimes
	lastRetryAt       time.Time // latest retry time given to a refused request
	seq               uint64
}

// ticket is a queued request.
type ticket struct {
	customer  topology.CustomerID
	weight    float64
	size      int     // message bytes
	finishTag float64 // in virtual time
	seq       uint64  // breaks ties between equal tags
	index     int     // in the heap, -1 if not queued
	grant     chan grant
}

// grant is the result of waiting: a connection, which passes to the receiver,
// or a refusal.
type grant struct {
	conn *conn
	err  *result.Error
}

// arrival describes a request that asks for a place in the queue.
type arrival struct {
	customer topology.CustomerID
	weight   float64
	timeLeft time.Duration
	size     int // message bytes
}

func newAdmissionQueue(maxRequests int) *admissionQueue {
	return &admissionQueue{
		maxRequests:       maxRequests,
		lastFinishTag:     map[topology.CustomerID]float64{},
		waitingByCustomer: map[topology.CustomerID]int{},
		times:             newServiceTimes(),
	}
}

func (q *admissionQueue) len() int { return len(q.tickets) }

// push queues a request for one of the slot's connections, of which busy are in
// use. It refuses a request that is expected to wait past its deadline, unless
// a connection is free for it. If the queue is full, push either refuses the
// request or evicts another ticket and returns that ticket.
func (q *admissionQueue) push(now time.Time, a arrival, connections, busy int) (t, evicted *ticket, refusal *result.Error) {
	weight := max(a.weight, minWeight)
	t = &ticket{
		customer:  a.customer,
		weight:    weight,
		size:      a.size,
		finishTag: q.nextFinishTag(a.customer, weight),
		grant:     make(chan grant, 1),
	}
	free := len(q.tickets)+busy < connections
	if wait := q.times.estimateWait(q.countAhead(t), connections); wait > a.timeLeft && !free {
		e := result.New(result.DeadlineTooClose, "expected wait of %s exceeds the remaining %s", wait.Round(time.Millisecond), a.timeLeft.Round(time.Millisecond))
		return nil, nil, e.WithRetryAfter(q.retryAfter(now, wait-a.timeLeft, connections))
	}
	if len(q.tickets) > 0 && q.queuedBytes+a.size > maxQueuedBytes {
		return nil, nil, q.queueFullRefusal(now, connections)
	}
	if len(q.tickets) >= q.maxRequests {
		if evicted = q.evictionCandidate(a.customer, weight); evicted == nil {
			return nil, nil, q.queueFullRefusal(now, connections)
		}
		q.remove(evicted)
	}
	q.insert(t)
	return t, evicted, nil
}

// queueFullRefusal returns the refusal for a request that finds the queue full.
func (q *admissionQueue) queueFullRefusal(now time.Time, connections int) *result.Error {
	drainTime := q.times.estimateWait(len(q.tickets)/2, connections)
	e := result.New(result.QueueFull, "queue is full: %d requests, %d bytes", len(q.tickets), q.queuedBytes)
	return e.WithRetryAfter(q.retryAfter(now, drainTime, connections))
}

// nextFinishTag returns the finish tag of the customer's next ticket.
func (q *admissionQueue) nextFinishTag(customer topology.CustomerID, weight float64) float64 {
	start := max(q.virtualTime, q.lastFinishTag[customer])
	return start + q.times.expectedCost(customer).Seconds()/weight
}

// countAhead counts the queued tickets that are served before t.
func (q *admissionQueue) countAhead(t *ticket) int {
	n := 0
	for _, other := range q.tickets {
		if other.finishTag <= t.finishTag {
			n++
		}
	}
	return n
}

func (q *admissionQueue) insert(t *ticket) {
	q.seq++
	t.seq = q.seq
	q.lastFinishTag[t.customer] = t.finishTag
	q.waitingByCustomer[t.customer]++
	q.queuedBytes += t.size
	heap.Push(&q.tickets, t)
}

// evictionCandidate returns the last ticket of the customer with the most
// queued tickets relative to its weight. It returns nil if that is the arriving
// customer.
func (q *admissionQueue) evictionCandidate(arriving topology.CustomerID, weight float64) *ticket {
	highestLoad := float64(q.waitingByCustomer[arriving]+1) / weight
	var victim *ticket
	for _, t := range q.tickets {
		if t.customer == arriving {
			continue
		}
		load := float64(q.waitingByCustomer[t.customer]) / t.weight
		if load > highestLoad || (victim != nil && t.customer == victim.customer && t.finishTag > victim.finishTag) {
			highestLoad, victim = load, t
		}
	}
	return victim
}

// pop removes and returns the next ticket to serve, or nil if the queue is
// empty.
func (q *admissionQueue) pop() *ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	t := q.tickets[0]
	q.virtualTime = max(q.virtualTime, t.finishTag)
	q.remove(t)
	return t
}

// remove takes a ticket out of the queue. It returns false if the ticket is no
// longer queued.
func (q *admissionQueue) remove(t *ticket) bool {
	if t.index < 0 {
		return false
	}
	heap.Remove(&q.tickets, t.index)
	q.waitingByCustomer[t.customer]--
	q.queuedBytes -= t.size
	if q.waitingByCustomer[t.customer] == 0 {
		delete(q.waitingByCustomer, t.customer)
	}
	q.pruneFinishTags()
	return true
}

// pruneFinishTags drops the finish tags of customers without queued tickets
// once the virtual time has reached them: these tags no longer affect the
// order.
func (q *admissionQueue) pruneFinishTags() {
	if len(q.lastFinishTag) <= 2*q.maxRequests {
		return
	}
	for customer, tag := range q.lastFinishTag {
		if tag <= q.virtualTime && q.waitingByCustomer[customer] == 0 {
			delete(q.lastFinishTag, customer)
		}
	}
}

// retryAfter returns how long a refused request should wait before it is sent
// again. It spaces the retries slightly further apart than the slot completes
// requests, so that they don't compete with each other.
func (q *admissionQueue) retryAfter(now time.Time, delay time.Duration, connections int) time.Duration {
	at := now.Add(delay)
	if at.Before(q.lastRetryAt) {
		at = q.lastRetryAt
	}
	if limit := now.Add(maxRetryAfter); at.After(limit) {
		at = limit
	}
	q.lastRetryAt = at.Add(q.times.estimateWait(0, connections) * retrySpacingPercent / 100)
	return max(at.Sub(now), minRetryAfter)
}

// ticketHeap implements heap.Interface, ordered by finish tag.
type ticketHeap []*ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].seq < h[j].seq
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
