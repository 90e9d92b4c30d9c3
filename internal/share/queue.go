package share

import "time"

// waiter is a request that waits for a connection.
type waiter struct {
	priority int // 0 first
	arrived  time.Time
	deadline time.Time
	granted  chan *Conn // has room for one
}

// queue holds waiters by priority, then by arrival. It is a plain value
// without lock or clock.
type queue struct{ list []*waiter }

func (q *queue) add(w *waiter) {
	i := len(q.list)
	for i > 0 && w.before(q.list[i-1]) {
		i--
	}
	q.list = append(q.list, nil)
	copy(q.list[i+1:], q.list[i:])
	q.list[i] = w
}

func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.arrived.Before(other.arrived)
}

// next removes and returns the first waiter whose deadline hasn't passed.
func (q *queue) next(now time.Time) *waiter {
	for len(q.list) > 0 {
		w := q.list[0]
		q.list = q.list[1:]
		if now.Before(w.deadline) {
			return w
		}
		close(w.granted)
	}
	return nil
}

// remove takes a waiter out and tells whether it was still there.
func (q *queue) remove(w *waiter) bool {
	for i, other := range q.list {
		if other == w {
			q.list = append(q.list[:i], q.list[i+1:]...)
			return true
		}
	}
	return false
}

// ahead counts those that would be served before a newcomer of the priority.
func (q *queue) ahead(priority int) int {
	n := 0
	for _, w := range q.list {
		if w.priority <= priority {
			n++
		}
	}
	return n
}

// expectedWait is how long a newcomer waits behind so many others for one of
// the connections, each of which is free again after hold on average. Of those
// that become free, the share left goes to the newcomer's priority or less
// urgent ones; the others go to more urgent requests that come meanwhile.
func expectedWait(ahead, connections int, hold time.Duration, left float64) time.Duration {
	if connections < 1 {
		connections = 1
	}
	wait := time.Duration(ahead+1) * hold / time.Duration(connections)
	return time.Duration(float64(wait) / left)
}
