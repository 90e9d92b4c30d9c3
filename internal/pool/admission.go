package pool

import (
	"container/heap"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	queueBound    = 256                    // requests that wait at one slot
	queueBytes    = 32 << 20               // of their messages
	maxRetryAfter = 2 * time.Second        // an estimate of a later time is worth little
	minRetryAfter = 5 * time.Millisecond   // an earlier return finds the same queue
	returnSpacing = 110                    // per cent of the mean time between two services
	minCost       = 100 * time.Microsecond // charged for a request of unknown or tiny cost
	minWeight     = 1e-3                   // of a customer without a cost share
)

// admission is the queue of one slot: weighted fair queueing by customer, in
// units of connection time (self-clocked: the virtual time is the finish tag
// of the request served last). It is bounded; when full, the customer that
// has most waiting for its weight gives way. Not safe for concurrent use.
type admission struct {
	bound    int // requests
	bytes    int // of the waiting requests
	tickets  ticketHeap
	virtual  float64
	finish   map[topology.CustomerID]float64 // tag of the customer's last ticket
	waiting  map[topology.CustomerID]int
	times    serviceTimes
	promised time.Time // last time that a refused request was told to come back
	seq      uint64
}

// ticket is one waiting request.
type ticket struct {
	customer topology.CustomerID
	weight   float64
	size     int     // bytes of the request
	finish   float64 // virtual time
	seq      uint64  // order among equal tags
	index    int     // in the heap, -1 when not waiting
	grant    chan grant
}

// grant is what a waiting request gets: a connection, which it owns, or a refusal.
type grant struct {
	conn *conn
	err  *result.Error
}

// arrival is a request that asks to wait.
type arrival struct {
	customer topology.CustomerID
	weight   float64
	timeLeft time.Duration
	size     int // bytes of the request
}

func newAdmission(bound int) *admission {
	return &admission{
		bound:   bound,
		finish:  map[topology.CustomerID]float64{},
		waiting: map[topology.CustomerID]int{},
		times:   newServiceTimes(),
	}
}

func (q *admission) len() int { return len(q.tickets) }

// push lets an arrival wait for one of so many connections, of which some are
// busy. It refuses one that would wait past its deadline, unless a connection
// is free for it, and one that finds the queue full unless another ticket gives
// way; that one is returned and no longer waits.
func (q *admission) push(now time.Time, a arrival, connections, busy int) (t, evicted *ticket, refusal *result.Error) {
	weight := max(a.weight, minWeight)
	t = &ticket{
		customer: a.customer,
		weight:   weight,
		size:     a.size,
		finish:   q.tag(a.customer, weight),
		grant:    make(chan grant, 1),
	}
	free := len(q.tickets)+busy < connections
	if wait := q.times.wait(q.ahead(t), connections); wait > a.timeLeft && !free {
		e := result.New(result.DeadlineTooClose, "a wait of %s is expected, %s are left", wait.Round(time.Millisecond), a.timeLeft.Round(time.Millisecond))
		return nil, nil, e.After(q.comeBack(now, wait-a.timeLeft, connections))
	}
	if len(q.tickets) > 0 && q.bytes+a.size > queueBytes {
		return nil, nil, q.full(now, connections)
	}
	if len(q.tickets) >= q.bound {
		if evicted = q.yielding(a.customer, weight); evicted == nil {
			return nil, nil, q.full(now, connections)
		}
		q.remove(evicted)
	}
	q.insert(t)
	return t, evicted, nil
}

// full returns the refusal of a request that finds no place in the queue.
func (q *admission) full(now time.Time, connections int) *result.Error {
	drain := q.times.wait(len(q.tickets)/2, connections)
	e := result.New(result.QueueFull, "%d requests of %d bytes wait", len(q.tickets), q.bytes)
	return e.After(q.comeBack(now, drain, connections))
}

// tag returns the finish tag of the customer's next ticket.
func (q *admission) tag(customer topology.CustomerID, weight float64) float64 {
	start := max(q.virtual, q.finish[customer])
	return start + q.times.cost(customer).Seconds()/weight
}

// ahead counts the waiting tickets that are served before t.
func (q *admission) ahead(t *ticket) int {
	n := 0
	for _, other := range q.tickets {
		if other.finish <= t.finish {
			n++
		}
	}
	return n
}

func (q *admission) insert(t *ticket) {
	q.seq++
	t.seq = q.seq
	q.finish[t.customer] = t.finish
	q.waiting[t.customer]++
	q.bytes += t.size
	heap.Push(&q.tickets, t)
}

// yielding returns the last ticket of the customer that has most waiting for
// its weight, nil if that is the arriving customer.
func (q *admission) yielding(arriving topology.CustomerID, weight float64) *ticket {
	most := float64(q.waiting[arriving]+1) / weight
	var victim *ticket
	for _, t := range q.tickets {
		if t.customer == arriving {
			continue
		}
		load := float64(q.waiting[t.customer]) / t.weight
		if load > most || (victim != nil && t.customer == victim.customer && t.finish > victim.finish) {
			most, victim = load, t
		}
	}
	return victim
}

// pop returns the next ticket to serve, nil if none waits.
func (q *admission) pop() *ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	t := q.tickets[0]
	q.virtual = max(q.virtual, t.finish)
	q.remove(t)
	return t
}

// remove takes a ticket out of the queue; false if it doesn't wait any more.
func (q *admission) remove(t *ticket) bool {
	if t.index < 0 {
		return false
	}
	heap.Remove(&q.tickets, t.index)
	q.waiting[t.customer]--
	q.bytes -= t.size
	if q.waiting[t.customer] == 0 {
		delete(q.waiting, t.customer)
	}
	q.forget()
	return true
}

// forget drops the tags that no longer matter.
func (q *admission) forget() {
	if len(q.finish) <= 2*q.bound {
		return
	}
	for customer, tag := range q.finish {
		if tag <= q.virtual && q.waiting[customer] == 0 {
			delete(q.finish, customer)
		}
	}
}

// comeBack spaces the returns of refused requests as far apart as the slot
// serves them, so that they don't find each other.
func (q *admission) comeBack(now time.Time, after time.Duration, connections int) time.Duration {
	at := now.Add(after)
	if at.Before(q.promised) {
		at = q.promised
	}
	if limit := now.Add(maxRetryAfter); at.After(limit) {
		at = limit
	}
	q.promised = at.Add(q.times.wait(0, connections) * returnSpacing / 100)
	return max(at.Sub(now), minRetryAfter)
}

// ticketHeap orders tickets by finish tag for container/heap.
type ticketHeap []*ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
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
