package share

import (
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// waiter is a request that waits for a connection.
type waiter struct {
	customer  topology.CustomerID
	priority  int // 0 is the most urgent
	arrivedAt time.Time
	deadline  time.Time
	granted   chan *Conn // buffered for one connection; closed if the wait ends without one
	needsDial bool       // its customer had no connection that is used for single statements
	onRemoved func()     // called when it leaves the queue; may be nil
}

// waitQueue holds waiters ordered by priority, then by arrival. It has no lock
// and no clock of its own.
type waitQueue struct{ waiters []*waiter }

func (q *waitQueue) add(w *waiter) {
	i := len(q.waiters)
	for i > 0 && w.precedes(q.waiters[i-1]) {
		i--
	}
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = w
}

func (w *waiter) precedes(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrivedAt.Before(other.arrivedAt)
}

// popNext removes and returns the first waiter whose deadline hasn't passed. It
// also removes the expired waiters ahead of it and ends their wait.
func (q *waitQueue) popNext(now time.Time) *waiter {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		q.removeAt(0)
		if now.Before(w.deadline) {
			return w
		}
		close(w.granted)
	}
	return nil
}

// dropExpired ends the wait of requests whose deadline has passed.
func (q *waitQueue) dropExpired(now time.Time) {
	for i := len(q.waiters) - 1; i >= 0; i-- {
		if w := q.waiters[i]; !now.Before(w.deadline) {
			q.removeAt(i)
			close(w.granted)
		}
	}
}

// dropCustomers ends the wait of requests of customers.
func (q *waitQueue) dropCustomers() {
	for i := len(q.waiters) - 1; i >= 0; i-- {
		if w := q.waiters[i]; w.customer != "" {
			q.removeAt(i)
			close(w.granted)
		}
	}
}

func (q *waitQueue) removeAt(i int) {
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	if w.onRemoved != nil {
		w.onRemoved()
	}
}

// remove removes a waiter and reports whether it was still in the queue.
func (q *waitQueue) remove(w *waiter) bool {
	for i, other := range q.waiters {
		if other == w {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// countAhead returns the number of waiters that would be served before a new
// one of the priority.
func (q *waitQueue) countAhead(priority int) int {
	count := 0
	for _, w := range q.waiters {
		if w.priority <= priority {
			count++
		}
	}
	return count
}

// expectedWait estimates how long a new request waits behind ahead others for
// one of the connections, each of which becomes free after meanHold on average.
// share is the part of the freed connections that goes to this priority or less
// urgent ones; the rest goes to more urgent requests that arrive in the
// meantime.
func expectedWait(ahead, connections int, meanHold time.Duration, share float64) time.Duration {
	if connections < 1 {
		connections = 1
	}
	wait := time.Duration(ahead+1) * meanHold / time.Duration(connections)
	return time.Duration(float64(wait) / share)
}
