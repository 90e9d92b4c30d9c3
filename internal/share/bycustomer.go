package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var (
	// replacements counts connections that were closed for another customer.
	replacements = metrics.NewCounter("nettlewalk_connections_replaced_total")
	// demandDials and preopenDials count dials by why the connection was opened.
	demandDials  = metrics.NewCounter(`nettlewalk_customer_dials_total{reason="demand"}`)
	preopenDials = metrics.NewCounter(`nettlewalk_customer_dials_total{reason="ahead"}`)
)

// dialWaits records how long requests waited whose customer had no connection.
var dialWaits = metrics.NewHistogram("nettlewalk_customer_dial_wait_seconds")

// Customers is the configuration of a pool whose connections belong to customers.
type Customers struct {
	Known   map[topology.CustomerID]bool // connections of others are closed once they are idle
	Preopen []topology.CustomerID        // customers of the connections to open ahead of demand
}

// SetCustomers makes the connections belong to customers, or to nobody if c is nil. It
// must be called again from time to time, also with an unchanged c: a request of a
// customer that was in flight during SetCustomers(nil) makes them belong to customers
// again until the next call.
func (p *Pool) SetCustomers(c *Customers) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c == p.customers && p.byCustomer == (c != nil) {
		return
	}
	p.customers, p.byCustomer = c, c != nil
	if c == nil {
		p.queue.dropCustomers() // a connection that belongs to nobody must not serve them
	}
	kept := p.idle[:0:0]
	for _, conn := range p.idle {
		if p.mayKeep(conn) {
			kept = append(kept, conn)
			continue
		}
		p.closeConn(conn)
	}
	p.idle = kept
	p.startDialing()
}

// mayKeep reports whether an idle connection's customer still exists.
func (p *Pool) mayKeep(c *Conn) bool {
	switch {
	case c.Customer == "":
		return true
	case p.customers != nil:
		return p.customers.Known[c.Customer]
	}
	return p.byCustomer
}

// CustomerLoad describes a pool as one customer sees it.
type CustomerLoad struct {
	Load
	Limit      int  // on statements in flight
	ByCustomer bool // connections belong to customers
	// Delay is how long a request of the customer is expected to wait for a
	// connection, including a dial; 0 if one is idle.
	Delay time.Duration
}

// LoadFor returns the pool's load and the expected wait of a request of the customer.
func (p *Pool) LoadFor(customer topology.CustomerID) CustomerLoad {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	load := CustomerLoad{Load: p.load(), ByCustomer: p.byCustomer, Limit: p.limit(now)}
	if !p.byCustomer || p.hasIdle(customer) && p.active < p.limit(now) {
		return load
	}
	waiting := 0 // of any priority, since that of the request isn't known here
	if u := p.use[customer]; u != nil {
		waiting = u.waiting
	}
	load.Delay = p.view(now).expectedWaitBehind(waiting, customer, 0, 1, p.untilDial(now), now)
	return load
}

func (p *Pool) hasIdle(customer topology.CustomerID) bool {
	for _, c := range p.idle {
		if c.Customer == customer {
			return true
		}
	}
	return false
}

// MaxCustomersDumped bounds the customers in a state dump of one pool.
const MaxCustomersDumped = 20

// CustomerDump is the state of one customer's connections in a pool.
type CustomerDump struct {
	Customer topology.CustomerID `json:"customer"`
	Open     int                 `json:"open"`
	InUse    int                 `json:"in_use"`
	Dialing  int                 `json:"dialing"`
	Waiting  int                 `json:"waiting"`
	Demand   float64             `json:"demand_per_s"`
}

// DumpCustomers returns the customers with the most connections, at most
// MaxCustomersDumped, or nil if connections don't belong to customers.
func (p *Pool) DumpCustomers() []CustomerDump {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.byCustomer {
		return nil
	}
	list := make([]CustomerDump, 0, len(p.use))
	for id, u := range p.use {
		list = append(list, CustomerDump{id, u.open, u.inUse, u.dialing, u.waiting, u.demand(now)})
	}
	slices.SortFunc(list, func(a, b CustomerDump) int {
		return cmp.Or(cmp.Compare(b.Open, a.Open), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Customer, b.Customer))
	})
	return list[:min(len(list), MaxCustomersDumped)]
}

// useOf returns the entry of a customer and creates it if necessary. The caller holds
// p.mu.
func (p *Pool) useOf(customer topology.CustomerID, now time.Time) *customerUse {
	u := p.use[customer]
	if u == nil {
		for id, other := range p.use {
			if other.unused(now) {
				delete(p.use, id)
			}
		}
		u = &customerUse{ratedAt: now}
		p.use[customer] = u
	}
	return u
}

// view returns the state on which decisions are based. The caller holds p.mu.
func (p *Pool) view(now time.Time) *poolView {
	v := &poolView{
		size: p.size, open: p.open, dialing: p.customerDials, active: p.active, limit: p.limit(now),
		use: p.use, hold: p.meanHold, dialTime: p.dialTime, full: now.Before(p.fullUntil),
	}
	if p.dialing {
		v.dialing++
	}
	for _, c := range p.idle {
		v.idle = append(v.idle, idleConn{c.Customer, c.servedAt})
	}
	for _, w := range p.queue.waiters {
		v.queue = append(v.queue, waitingRequest{w.customer, w.priority, w.arrivedAt, w.deadline})
	}
	if p.customers != nil {
		v.preopen = p.customers.Preopen
	}
	return v
}

// untilDial returns how long until a dial is allowed, as far as it needs no room at the
// target. The caller holds p.mu.
func (p *Pool) untilDial(now time.Time) time.Duration {
	return max(p.dialPausedUntil.Sub(now), p.budget.untilAvailable(p.size, now), 0)
}

// scheduleDials starts the dials that the waiting requests need, then those ahead of
// demand. The caller holds p.mu.
func (p *Pool) scheduleDials(now time.Time) {
	for !p.closed {
		wait := p.untilDial(now)
		if wait == 0 {
			action, ok := nextDial(p.view(now), now)
			if ok {
				p.startDial(action, now)
				continue
			}
		}
		switch {
		case len(p.queue.waiters) > 0:
			p.recheckDials(max(wait, dialRecheckInterval))
		case p.open+p.customerDials < p.size && (wait > 0 || now.Before(p.fullUntil)):
			p.recheckDials(max(wait, p.fullUntil.Sub(now), dialRecheckInterval))
		}
		return
	}
}

// dialRecheckInterval is the time between checks whether a dial has become possible
// for a waiting request by the passing of time alone.
const dialRecheckInterval = 10 * time.Millisecond

func (p *Pool) recheckDials(after time.Duration) {
	if p.rechecking {
		return
	}
	p.rechecking = true
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.rechecking = false
		if p.byCustomer {
			p.scheduleDials(time.Now())
		}
	})
}

// startDial closes the connection to replace, if any, and dials. The caller holds p.mu.
func (p *Pool) startDial(a dialAction, now time.Time) {
	if a.replace >= 0 {
		replacements.Inc()
		p.closeConn(p.idle[a.replace])
		p.idle = append(p.idle[:a.replace:a.replace], p.idle[a.replace+1:]...)
	}
	u := p.useOf(a.customer, now)
	if u.waiting > 0 {
		demandDials.Inc()
	} else {
		preopenDials.Inc()
	}
	u.dialing++
	p.customerDials++
	p.budget.take()
	go p.dialFor(a)
}

func (p *Pool) dialFor(a dialAction) {
	customer := a.customer
	start := time.Now()
	conn, err := p.opts.Dialer.Dial(p.ctx, p.opts.Target, customer)
	now := time.Now()
	dialTimes.Update(now.Sub(start).Seconds())
	p.opts.OnDial(p.opts.Target.ID, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.customerDials--
	u := p.useOf(customer, now)
	u.dialing--
	if err != nil {
		wait := p.backoff.next(err, p.open > 0)
		if atLimit(err) {
			p.fullUntil = now.Add(wait)
		}
		if !atLimit(err) || a.replaces { // another host took the room: it may not be tried again at once
			p.dialPausedUntil = now.Add(wait)
		}
	} else {
		p.dialTime += (now.Sub(start) - p.dialTime) / holdEWMADivisor
		if !a.replaces { // otherwise it doesn't show that the target has room
			p.backoff, p.fullUntil = newDialBackoff(), time.Time{}
		}
		c := &Conn{Conn: conn, pool: p, Customer: customer, Prepared: map[string]string{}, lastUsed: now}
		p.open++
		u.open++
		p.keepOrClose(c, now)
	}
	if p.byCustomer {
		p.scheduleDials(now)
	} else {
		p.startDialing()
	}
}

// keepOrClose hands a free connection to a waiting request of its customer or keeps
// it idle, unless the pool doesn't want it. The caller holds p.mu.
func (p *Pool) keepOrClose(c *Conn, now time.Time) {
	if p.closed || p.open > p.size || !p.mayKeep(c) {
		p.closeConn(c)
		return
	}
	p.grant(c, now)
}

// grantByCustomer hands a free connection to the first waiting request of its
// customer, unless another customer gets it by replacement. The caller holds p.mu.
func (p *Pool) grantByCustomer(c *Conn, now time.Time) {
	if len(p.queue.waiters) > 0 && p.untilDial(now) == 0 {
		if other, ok := p.view(now).converts(c.Customer, now); ok {
			replacements.Inc()
			p.closeConn(c)
			p.startDial(dialAction{customer: other, replace: -1, replaces: true}, now)
			return
		}
	}
	p.idle = append(p.idle, c)
	p.dispatch(now)
}

// dispatch serves waiting requests on idle connections of their customers, within the
// limit on statements in flight. The caller holds p.mu.
func (p *Pool) dispatch(now time.Time) {
	p.queue.dropExpired(now)
	for len(p.queue.waiters) > 0 && len(p.idle) > 0 {
		i := p.view(now).nextWaiter(p.grants)
		if i < 0 {
			return
		}
		if p.active >= p.limit(now) {
			p.noteReached()
			p.noteWaiting(now)
			return
		}
		w := p.queue.waiters[i]
		p.queue.removeAt(i)
		c := p.popIdle(w.customer, now)
		p.grants++
		p.useOf(w.customer, now).lastGrant = p.grants
		p.history.add(w.priority, now)
		p.noteStart(w.customer, w.priority, now)
		w.granted <- c
	}
}

// takeFor records that a request of the connection's customer takes it. The caller
// holds p.mu.
func (p *Pool) takeFor(c *Conn, now time.Time) {
	c.acquiredAt, c.probing, c.active, c.usedInTx = now, false, true, false
	p.active++
	if u := p.use[c.Customer]; u != nil {
		u.inUse++
	}
}

// endUse records that the request to which the connection was given is done with it. The
// caller holds p.mu.
func (p *Pool) endUse(c *Conn, now time.Time) {
	if c.probing {
		if !p.byCustomer {
			p.recordHold(c, now)
		}
		return
	}
	p.setActive(c, false)
	p.setInTransaction(c, false)
	if u := p.use[c.Customer]; u != nil {
		u.inUse--
	}
	c.servedAt = now
	if !p.byCustomer || !c.usedInTx { // a transaction lasts as long as its caller wants
		p.recordHold(c, now)
	}
}

func (p *Pool) recordHold(c *Conn, now time.Time) {
	p.meanHold += (now.Sub(c.acquiredAt) - p.meanHold) / holdEWMADivisor
}

// setActive records whether a statement is in flight or about to be sent. The caller
// holds p.mu.
func (p *Pool) setActive(c *Conn, active bool) {
	switch {
	case active && !c.active:
		p.active++
	case !active && c.active:
		p.active--
	}
	c.active = active
}

// setInTransaction records whether a transaction is open. The caller holds p.mu.
func (p *Pool) setInTransaction(c *Conn, inTx bool) {
	if u := p.use[c.Customer]; u != nil && c.inTx != inTx {
		if inTx {
			u.inTx++
		} else {
			u.inTx--
		}
	}
	c.inTx = inTx
	c.usedInTx = c.usedInTx || inTx
}

// beginExchange records that statements are sent. It returns false if the pool doesn't
// observe this exchange.
func (p *Pool) beginExchange(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isLimited() || c.probing {
		return false
	}
	p.setActive(c, true)
	return true
}

// endExchange records the answers of the target to statements that took the given time.
// A transaction whose caller has yet to send the next statement isn't in flight.
func (p *Pool) endExchange(c *Conn, batch []statement.Statement, answers []statement.Answer, took time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := slices.ContainsFunc(answers, func(a statement.Answer) bool { return a.Code == statement.Busy })
	if busy || slices.ContainsFunc(batch, usesWorkSlot) {
		p.concurrency.observe(took, busy, p.size, now)
	}
	if busy && p.sharing != nil {
		p.sharing.refused++
	}
	if n := len(answers); n > 0 && answers[n-1].State != statement.Idle {
		p.setInTransaction(c, true)
		p.setActive(c, false)
	}
	p.dispatch(now)
}

// usesWorkSlot reports whether a statement takes a work slot of the target.
func usesWorkSlot(st statement.Statement) bool {
	switch st.Kind {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return true
	}
	return false
}

// admitCustomer returns an error if a request of a customer can't be served or its
// expected wait is too long. The caller holds p.mu.
func (p *Pool) admitCustomer(customer topology.CustomerID, now, deadline time.Time, maxWait time.Duration, priority int) error {
	switch {
	case p.closed:
		return ErrClosed
	case p.size <= 0, p.open+p.customerDials == 0 && (now.Before(p.dialPausedUntil) || now.Before(p.fullUntil)):
		return ErrNoConnection
	}
	v := p.view(now)
	share := p.history.remainingShare(priority, v.limit, p.meanHold, now)
	expected := v.expectedCustomerWait(customer, priority, share, p.untilDial(now), now)
	if expected > maxWait || now.Add(expected).After(deadline) {
		return ErrWaitTooLong
	}
	return nil
}
