package share

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// lessUrgentEvery is how often the request that has waited longest is served although
// more urgent ones wait: one of that many grants. It is the part that remainingShare
// assumes for less urgent requests.
const lessUrgentEvery = 1 / minRemainingShare

// nextWaiter returns the index in the queue of the request to serve next on an idle
// connection of its customer, or -1 if there is none. The most urgent is first; of
// equally urgent ones that of the customer whose turn it is, so that a customer with
// many requests doesn't delay others; of one customer that with the earliest deadline.
// grants is the number of requests that were served from the queue so far.
func (v *poolView) nextWaiter(grants uint64) int {
	hasIdle := map[topology.CustomerID]bool{}
	for _, c := range v.idle {
		hasIdle[c.customer] = true
	}
	longest := grants%lessUrgentEvery == lessUrgentEvery-1
	best := -1
	for i := range v.queue {
		if !hasIdle[v.queue[i].customer] {
			continue
		}
		if best < 0 || longest && v.queue[i].since.Before(v.queue[best].since) || !longest && v.precedes(&v.queue[i], &v.queue[best]) {
			best = i
		}
	}
	return best
}

func (v *poolView) precedes(a, b *waitingRequest) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.customer != b.customer {
		if turnA, turnB := v.use[a.customer].lastGrant, v.use[b.customer].lastGrant; turnA != turnB {
			return turnA < turnB
		}
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.since.Before(b.since)
}

// aheadOf returns how many waiting requests are served before a new one of the
// customer: the more urgent ones, the customer's own, and of each other customer as many
// as it gets turns until then.
func (v *poolView) aheadOf(customer topology.CustomerID, priority int) int {
	ahead, own := 0, 0
	equal := map[topology.CustomerID]int{}
	for _, w := range v.queue {
		switch {
		case w.priority < priority:
			ahead++
		case w.priority > priority:
		case w.customer == customer:
			own++
		default:
			equal[w.customer]++
		}
	}
	for _, n := range equal {
		ahead += min(n, own+1)
	}
	return ahead + own
}

// ownAhead returns how many waiting requests of the customer are served before a new one:
// those that are at least as urgent. Less urgent ones must not make the pool refuse it.
func (v *poolView) ownAhead(customer topology.CustomerID, priority int) int {
	own := 0
	for _, w := range v.queue {
		if w.customer == customer && w.priority <= priority {
			own++
		}
	}
	return own
}

// limitWait estimates how long a new request waits because of the limit on statements
// in flight.
func (v *poolView) limitWait(customer topology.CustomerID, priority int, share float64) time.Duration {
	if v.active < v.limit {
		return 0
	}
	return expectedWait(v.aheadOf(customer, priority), v.limit, v.hold, share)
}
