package share

import (
	"math"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// The decisions of a pool whose connections belong to customers. Nothing in this
// file has a lock, a clock or a connection.

const (
	// maxConcurrentDials bounds the dials in progress of one pool. Several hosts dial
	// the same target, and each dial takes one of its few work slots.
	maxConcurrentDials = 2
	// dialsPerConnection bounds the dials of a pool per second, as a multiple of its
	// size. Over all hosts these are about 49 dials of 12 ms a second at a target
	// with 4 work slots, a seventh of its work. Without a bound, overload causes
	// dials, which cause more overload.
	dialsPerConnection = 1.0
	// dialBurst is the number of dials, as a multiple of the pool's size, that may
	// follow each other before that rate applies.
	dialBurst = 0.5
	// minDialsPerSecond and minDialBurst apply to small pools, in which two customers
	// who take turns would otherwise wait for a second.
	minDialsPerSecond = 8.0
	minDialBurst      = 4.0
	// minReplaceIdle is how long a connection must have been idle before it is
	// replaced. The statements of one operation are closer together.
	minReplaceIdle = 100 * time.Millisecond
	// replaceAnywayAfter is how long a request must have waited for a connection
	// that is in steady use to be taken from another customer.
	replaceAnywayAfter = 40 * time.Millisecond
	// demandPeriod is the time constant with which a customer's demand decays: some
	// times the interval between two statements of a small customer at a pool.
	demandPeriod = 5 * time.Second
	// minDemand is the demand, in requests per second, below which a customer
	// doesn't want connections: one request three periods ago.
	minDemand = 0.01
	// customerShareDivisor limits the connections of one customer to
	// 1/customerShareDivisor of the pool while other customers have demand.
	// Transactions whose callers rest would otherwise hold all of them.
	customerShareDivisor = 2
	// initialDialTime is the assumed duration of a dial before the first: the
	// target's work and some round trips.
	initialDialTime = 15 * time.Millisecond
)

// customerUse is what a pool knows of one customer.
type customerUse struct {
	open    int // connections, idle and in use
	inUse   int
	dialing int // dials in progress
	waiting int // requests in the queue
	inTx    int // connections with an open transaction
	// lastGrant is the number of the customer's last grant among those to waiting requests.
	lastGrant uint64

	rate    float64 // requests per second as of ratedAt
	ratedAt time.Time
}

// recordDemand records a request.
func (u *customerUse) recordDemand(now time.Time) {
	u.rate, u.ratedAt = u.demand(now)+1/demandPeriod.Seconds(), now
}

// demand returns the recent requests per second.
func (u *customerUse) demand(now time.Time) float64 {
	return u.rate * math.Exp(-now.Sub(u.ratedAt).Seconds()/demandPeriod.Seconds())
}

// usable returns the connections, open or being opened, that become free after a
// statement.
func (u *customerUse) usable() int { return u.open + u.dialing - u.inTx }

// unused reports whether the entry holds nothing that is worth keeping.
func (u *customerUse) unused(now time.Time) bool {
	return u.open+u.dialing+u.waiting == 0 && u.demand(now) < minDemand
}

// idleConn describes an idle connection.
type idleConn struct {
	customer topology.CustomerID
	since    time.Time // when it last served a request; zero: not yet, so that it may be replaced at once
}

// waitingRequest describes a waiting request.
type waitingRequest struct {
	customer topology.CustomerID
	priority int
	since    time.Time
	deadline time.Time
}

// poolView is the state of a pool on which a decision is based.
type poolView struct {
	size     int
	full     bool // the target has no room for further connections
	open     int  // connections, idle and in use
	dialing  int  // dials in progress
	active   int  // statements in flight
	limit    int  // on statements in flight
	use      map[topology.CustomerID]*customerUse
	idle     []idleConn
	queue    []waitingRequest // in the order in which they are served
	hold     time.Duration    // mean time for which a request holds a connection
	dialTime time.Duration    // mean duration of a dial
	// preopen lists the customers of the connections to open ahead of demand, most
	// important first, once for each connection.
	preopen []topology.CustomerID
}

// dialAction is a decision to open a connection.
type dialAction struct {
	customer topology.CustomerID
	replace  int  // index of the idle connection to close first; -1: none
	replaces bool // a connection is closed for it
}

// nextDial returns the connection to open next, or false if none should be opened
// now. The caller has checked that the rate of dials allows one.
func nextDial(v *poolView, now time.Time) (dialAction, bool) {
	if v.dialing >= maxConcurrentDials {
		return dialAction{}, false
	}
	examined := map[topology.CustomerID]bool{}
	for _, w := range v.queue {
		if examined[w.customer] {
			continue
		}
		examined[w.customer] = true
		if !v.wantsDial(w.customer, now) {
			continue
		}
		if v.mayAdd() {
			return dialAction{customer: w.customer, replace: -1}, true
		}
		if i := v.victim(&w, now); i >= 0 {
			return dialAction{customer: w.customer, replace: i, replaces: true}, true
		}
	}
	if len(v.queue) > 0 || v.dialing > 0 || !v.mayAdd() {
		return dialAction{}, false // dials ahead of demand are one at a time
	}
	return v.preopenNext()
}

// mayAdd reports whether the pool may have another connection without closing one.
func (v *poolView) mayAdd() bool { return v.open+v.dialing < v.size && !v.full }

// wantsDial reports whether a connection should be opened for the waiting requests of
// a customer: it has none, or waiting for those that it has takes longer than
// opening another one.
func (v *poolView) wantsDial(customer topology.CustomerID, now time.Time) bool {
	u := v.use[customer]
	if u.waiting <= u.dialing || v.hasIdle(customer) {
		return false
	}
	if u.open+u.dialing == 0 {
		return true
	}
	if u.open+u.dialing >= v.customerLimit(customer, now) {
		return false
	}
	if u.usable() == 0 {
		return true
	}
	if v.active >= v.limit {
		return false // another connection would only wait as well
	}
	wait := time.Duration(u.waiting) * v.hold / time.Duration(u.usable())
	threshold := v.dialTime
	if !v.mayAdd() {
		threshold += v.hold // another customer loses a connection
	}
	return wait > threshold
}

func (v *poolView) hasIdle(customer topology.CustomerID) bool {
	return slices.ContainsFunc(v.idle, func(c idleConn) bool { return c.customer == customer })
}

// customerLimit returns the maximum number of connections of a customer.
func (v *poolView) customerLimit(customer topology.CustomerID, now time.Time) int {
	for id, u := range v.use {
		if id != customer && (u.waiting > 0 || u.demand(now) >= minDemand) {
			return max(v.size/customerShareDivisor, 1)
		}
	}
	return max(v.size-1, 1)
}

// victim returns the index of the idle connection to replace for a waiting request,
// or -1 if none may be. It is the one whose customer most likely needs it last, and
// of several of one customer that which was used least recently.
func (v *poolView) victim(w *waitingRequest, now time.Time) int {
	idleCount := map[topology.CustomerID]int{}
	for _, c := range v.idle {
		idleCount[c.customer]++
	}
	best, bestNeed := -1, math.Inf(1)
	for i, c := range v.idle {
		if c.customer == w.customer {
			continue
		}
		if v.use[c.customer].waiting > 0 && (idleCount[c.customer] == 1 || now.Sub(w.since) < replaceAnywayAfter) {
			continue // they wait for their turn under the limit on statements in flight
		}
		if now.Sub(c.since) < minReplaceIdle && now.Sub(w.since) < replaceAnywayAfter {
			continue
		}
		need := v.use[c.customer].demand(now) / float64(idleCount[c.customer])
		if best < 0 || need < bestNeed || need == bestNeed && c.since.Before(v.idle[best].since) {
			best, bestNeed = i, need
		}
	}
	return best
}

// preopenNext returns the first connection of preopen that isn't open.
func (v *poolView) preopenNext() (dialAction, bool) {
	counted := map[topology.CustomerID]int{}
	for _, customer := range v.preopen {
		counted[customer]++
		u := v.use[customer]
		if u == nil || u.open+u.dialing < counted[customer] {
			return dialAction{customer: customer, replace: -1}, true
		}
	}
	return dialAction{}, false
}

// converts reports whether a connection that has just become free is replaced for
// another customer, although requests of its own customer wait: that other
// customer has no connection or only ones that are held for long, its request has
// waited long enough, and either the connection's customer has others or the request
// is ahead in the queue.
func (v *poolView) converts(customer topology.CustomerID, now time.Time) (other topology.CustomerID, ok bool) {
	if v.dialing >= maxConcurrentDials || v.open+v.dialing > v.size {
		return "", false
	}
	own := -1
	for i, w := range v.queue {
		if w.customer == customer {
			if own < 0 {
				own = i
			}
			continue
		}
		u := v.use[w.customer]
		if u.usable() > 0 || now.Sub(w.since) < replaceAnywayAfter {
			continue
		}
		if u.open > 0 && u.open >= v.customerLimit(w.customer, now) {
			continue
		}
		if own < 0 || v.use[customer].open > 1 || w.since.Before(v.queue[own].since) {
			return w.customer, true
		}
	}
	return "", false
}

// expectedCustomerWait estimates how long a new request of a customer waits: for one of
// the customer's connections, or for a dial if it has none that is used for single
// statements, and for its turn under the limit on statements in flight. share is the
// part of the freed connections that goes to its priority or less urgent ones.
func (v *poolView) expectedCustomerWait(customer topology.CustomerID, priority int, share float64, untilDial time.Duration, now time.Time) time.Duration {
	return v.expectedWaitBehind(v.ownAhead(customer, priority), customer, priority, share, untilDial, now)
}

// expectedWaitBehind is expectedCustomerWait with ownAhead requests of the customer before
// the new one.
func (v *poolView) expectedWaitBehind(ownAhead int, customer topology.CustomerID, priority int, share float64, untilDial time.Duration, now time.Time) time.Duration {
	limitWait := v.limitWait(customer, priority, share)
	if v.hasIdle(customer) {
		return limitWait
	}
	u := v.use[customer]
	if u == nil {
		u = &customerUse{}
	}
	dialsAhead := 0
	for _, other := range v.use {
		if other != u && other.waiting > 0 && other.usable() == 0 {
			dialsAhead++
		}
	}
	dial := untilDial + v.dialTime*time.Duration(1+(dialsAhead+v.dialing)/maxConcurrentDials)
	if untilDial > 0 { // the rate of dials is used up, so that those ahead follow each other at this rate
		dial += time.Duration(float64(dialsAhead) / dialRate(v.size) * float64(time.Second))
	}
	if !v.mayAdd() && v.victim(&waitingRequest{customer: customer, since: now}, now) < 0 {
		dial += replaceAnywayAfter
	}
	if u.usable() == 0 {
		return max(dial, limitWait)
	}
	own := expectedWait(ownAhead, u.usable(), v.hold, share)
	if u.open == 0 {
		own += v.dialTime
	}
	return max(own, limitWait)
}

// dialBudget limits how often a pool dials. The zero value is full.
type dialBudget struct {
	used      float64 // dials, which become available again over time
	updatedAt time.Time
}

// untilAvailable returns how long until a dial is allowed; 0: now.
func (b *dialBudget) untilAvailable(size int, now time.Time) time.Duration {
	b.refill(size, now)
	over := b.used + 1 - max(minDialBurst, float64(size)*dialBurst)
	if over <= 0 {
		return 0
	}
	return time.Duration(over / dialRate(size) * float64(time.Second))
}

func (b *dialBudget) take() { b.used++ }

// dialRate returns how many dials a second a pool of the size may make.
func dialRate(size int) float64 { return max(minDialsPerSecond, float64(size)*dialsPerConnection) }

func (b *dialBudget) refill(size int, now time.Time) {
	elapsed := max(now.Sub(b.updatedAt).Seconds(), 0)
	b.used = max(0, b.used-elapsed*dialRate(size))
	b.updatedAt = now
}

// CustomerWeight is a customer with its part of the load that a host is to serve.
type CustomerWeight struct {
	ID     topology.CustomerID
	Weight float64
}

// Preopen returns the customers of n connections to open ahead of demand, most
// important first. Each further connection goes to the customer with the largest
// weight for each of its connections, no customer getting more than a part of all.
func Preopen(customers []CustomerWeight, n int) []topology.CustomerID {
	counts := make([]int, len(customers))
	limit := max(n/customerShareDivisor, 1)
	var list []topology.CustomerID
	for len(list) < n {
		best, bestValue := -1, 0.0
		for i, c := range customers {
			value := max(c.Weight, 1e-9) / float64(counts[i]+1)
			if counts[i] < limit && (best < 0 || value > bestValue || value == bestValue && c.ID < customers[best].ID) {
				best, bestValue = i, value
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
		list = append(list, customers[best].ID)
	}
	return slices.Clip(list)
}
