package share

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// initialMeanHold is the assumed time for which a request holds a
	// connection, before the first measurement: a few milliseconds of work and
	// a round trip.
	initialMeanHold = 10 * time.Millisecond
	holdEWMADivisor = 16 // each measurement changes the moving average by 1/holdEWMADivisor of the difference
)

// Errors that Acquire returns. Nothing was sent to the target.
var (
	ErrWaitTooLong  = errors.New("wait for a connection to the target takes too long")
	ErrClosed       = errors.New("connection pool of the target is closed")
	ErrNoConnection = errors.New("no open connection to the target")
	ErrEnded        = errors.New("the target is leaving and takes no new statements")
)

// waitTimes records how long requests waited for a connection, including those
// that got none.
var waitTimes = metrics.NewHistogram("nettlewalk_connection_wait_seconds")

// dialTimes records how long dials of targets took, including failed ones.
var dialTimes = metrics.NewHistogram("nettlewalk_target_dial_seconds")

// Options configures a Pool.
type Options struct {
	Target topology.Target
	Dialer statement.Dialer
	Size   int // connections to keep open
	// OnDial is called with the result of each dial; a non-nil error is a
	// *statement.DialError. Calls may overlap, since a pool may have two dials in progress.
	OnDial func(topology.TargetID, error)
	// Customers is nil if connections don't belong to customers.
	Customers *Customers
}

// Pool maintains connections to one target. It is safe for concurrent use.
type Pool struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc

	mu       sync.Mutex
	size     int
	open     int // idle and in use
	idle     []*Conn
	queue    waitQueue
	history  grantHistory
	meanHold time.Duration // moving average of how long a request holds a connection
	dialing  bool          // connections without a customer are being opened
	closed   bool
	end      time.Time // requests get no connection from then on (package steady); zero: no such time

	// The fields below are used while connections belong to customers, see
	// bycustomer.go. use covers all customers with a connection.
	byCustomer      bool
	customers       *Customers // nil until SetCustomers
	use             map[topology.CustomerID]*customerUse
	customerDials   int           // in progress
	dialTime        time.Duration // moving average of how long a dial takes
	budget          dialBudget
	dialPausedUntil time.Time // after a failed dial
	// fullUntil is until when the target is taken to be at its limit, after it refused a
	// connection for that reason. Until then connections are only replaced.
	fullUntil   time.Time
	backoff     dialBackoff
	rechecking  bool   // a timer will call scheduleDials
	active      int    // connections with a statement in flight or about to be sent
	grants      uint64 // to waiting requests
	concurrency concurrencyLimit
	sharing     *sharing // nil while the target's capacity isn't shared
}

// NewPool returns a pool and starts to open its connections.
func NewPool(opts Options) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{
		opts: opts, ctx: ctx, stop: stop, size: opts.Size, meanHold: initialMeanHold,
		customers: opts.Customers, byCustomer: opts.Customers != nil, use: map[topology.CustomerID]*customerUse{},
		dialTime: initialDialTime, backoff: newDialBackoff(),
	}
	p.mu.Lock()
	p.startDialing()
	p.mu.Unlock()
	return p
}

// Load describes how busy a pool is.
type Load struct {
	Open, Idle, Waiting int
	Size                int
	Hold                time.Duration // mean time for which a request holds a connection
}

// Load returns the pool's current load.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load()
}

func (p *Pool) load() Load {
	return Load{Open: p.open, Idle: len(p.idle), Waiting: len(p.queue.waiters), Size: p.size, Hold: p.meanHold}
}

// SetSize changes how many connections the pool keeps open.
func (p *Pool) SetSize(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.size = n
	for len(p.idle) > 0 && p.open > p.size {
		p.closeConn(p.idle[0])
		p.idle = p.idle[1:]
	}
	p.startDialing()
}

// TryAcquireAny returns an idle connection of any customer, or nil if there is none.
// No statement of a caller may run on it.
func (p *Pool) TryAcquireAny() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	return p.takeIdle(len(p.idle)-1, time.Now())
}

// TryAcquire is TryAcquireFor for the most urgent requests.
func (p *Pool) TryAcquire(customer topology.CustomerID) *Conn { return p.TryAcquireFor(customer, 0) }

// TryAcquireFor returns an idle connection of the customer, or nil if there is none.
func (p *Pool) TryAcquireFor(customer topology.CustomerID, priority int) *Conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasEnded() {
		return nil
	}
	if p.isLimited() && p.active >= p.limit(now) {
		p.noteReached()
		return nil
	}
	c := p.popIdle(customer, now)
	if c != nil {
		p.noteStart(customer, priority, now)
	}
	return c
}

// Acquire returns a connection of the customer. It waits until the deadline at most, and no
// longer than maxWait; a request whose expected wait exceeds either is refused
// at once. Errors are ErrWaitTooLong, ErrClosed, ErrNoConnection and ErrEnded.
func (p *Pool) Acquire(customer topology.CustomerID, deadline time.Time, maxWait time.Duration, priority int) (*Conn, error) {
	now := time.Now()
	p.mu.Lock()
	if p.hasEnded() {
		p.mu.Unlock()
		return nil, ErrEnded
	}
	var c *Conn
	if !p.isLimited() || p.active < p.limit(now) {
		c = p.popIdle(customer, now)
	}
	if c != nil {
		p.history.add(priority, now)
		p.noteStart(customer, priority, now)
		p.mu.Unlock()
		return c, nil
	}
	if err := p.admit(customer, now, deadline, maxWait, priority); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if latest := now.Add(maxWait); latest.Before(deadline) {
		deadline = latest
	}
	w := &waiter{customer: customer, priority: priority, arrivedAt: now, deadline: deadline, granted: make(chan *Conn, 1)}
	p.enqueue(w, now)
	p.mu.Unlock()
	c, err := p.wait(w)
	if p.Ended() {
		if c != nil {
			p.Release(c, true)
		}
		return nil, ErrEnded
	}
	return c, err
}

// enqueue makes a request wait. The caller holds p.mu.
func (p *Pool) enqueue(w *waiter, now time.Time) {
	p.queue.add(w)
	p.noteWaiting(now)
	if !p.byCustomer {
		return
	}
	u := p.useOf(w.customer, now)
	w.needsDial = u.usable() == 0
	u.waiting++
	w.onRemoved = func() { u.waiting-- }
	p.scheduleDials(now)
}

// admit returns an error if a request can't be served or its expected wait is
// too long.
func (p *Pool) admit(customer topology.CustomerID, now, deadline time.Time, maxWait time.Duration, priority int) error {
	if customer != "" && !p.byCustomer { // the pool learns of a new configuration a moment later than the session
		p.byCustomer = true
	}
	if p.byCustomer {
		p.useOf(customer, now).recordDemand(now)
		return p.admitCustomer(customer, now, deadline, maxWait, priority)
	}
	switch {
	case p.closed:
		return ErrClosed
	case p.open == 0:
		return ErrNoConnection
	}
	usable := p.open
	if p.sharing != nil {
		usable = min(usable, p.limit(now))
	}
	expected := expectedWait(p.queue.countAhead(priority), usable, p.meanHold, p.history.remainingShare(priority, usable, p.meanHold, now))
	if expected > maxWait || now.Add(expected).After(deadline) {
		return ErrWaitTooLong
	}
	return nil
}

// wait waits until w is granted a connection or its deadline passes.
func (p *Pool) wait(w *waiter) (*Conn, error) {
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	defer func() {
		waitTimes.Update(time.Since(w.arrivedAt).Seconds())
		if w.needsDial {
			dialWaits.Update(time.Since(w.arrivedAt).Seconds())
		}
	}()
	select {
	case c := <-w.granted:
		return connOrTimeout(c)
	case <-timer.C:
	}
	p.mu.Lock()
	stillQueued := p.queue.remove(w)
	p.mu.Unlock()
	if stillQueued {
		return nil, ErrWaitTooLong
	}
	return connOrTimeout(<-w.granted)
}

// connOrTimeout returns the granted connection, or ErrWaitTooLong for nil: the
// queue closed the channel without a connection.
func connOrTimeout(c *Conn) (*Conn, error) {
	if c == nil {
		return nil, ErrWaitTooLong
	}
	return c, nil
}

// Release returns a connection to the pool. An unusable connection is closed
// and replaced.
func (p *Pool) Release(c *Conn, usable bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsed = now
	p.endUse(c, now)
	if !usable {
		p.closeConn(c)
		if p.isLimited() {
			p.dispatch(now)
		}
		p.startDialing()
		return
	}
	p.keepOrClose(c, now)
	p.startDialing()
}

// grant hands a free connection to the first waiter, or keeps it idle if nobody
// waits.
func (p *Pool) grant(c *Conn, now time.Time) {
	if p.byCustomer {
		p.grantByCustomer(c, now)
		return
	}
	if p.sharing != nil {
		p.idle = append(p.idle, c)
		p.dispatch(now)
		return
	}
	if w := p.queue.popNext(now); w != nil {
		p.takeFor(c, now)
		p.history.add(w.priority, now)
		w.granted <- c
		return
	}
	p.idle = append(p.idle, c)
}

// popIdle returns the most recently used idle connection of the customer, or nil if
// there is none.
func (p *Pool) popIdle(customer topology.CustomerID, now time.Time) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].Customer != customer {
			continue
		}
		c := p.takeIdle(i, now)
		p.takeFor(c, now)
		if p.byCustomer {
			p.use[customer].recordDemand(now)
		}
		return c
	}
	return nil
}

// takeIdle removes and returns an idle connection, initially for a probe.
func (p *Pool) takeIdle(i int, now time.Time) *Conn {
	c := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	c.acquiredAt, c.probing = now, true
	return c
}

func (p *Pool) closeConn(c *Conn) {
	p.open--
	if u := p.use[c.Customer]; u != nil {
		u.open--
	}
	c.Close()
}

// DropIdle closes the idle connections, for use when they may have gone silent.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
	p.startDialing()
}

// Close closes idle connections at once, and the others when they are released.
// Waiting requests are refused.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
	p.refuseWaiting()
}

// refuseWaiting ends the wait of all requests. The caller holds p.mu.
func (p *Pool) refuseWaiting() {
	for _, w := range p.queue.waiters {
		close(w.granted)
	}
	p.queue.waiters = nil
	for _, u := range p.use {
		u.waiting = 0
	}
}

// startDialing opens missing connections in the background, one at a time,
// since each takes one of the target's few work slots for a while.
func (p *Pool) startDialing() {
	if p.byCustomer {
		p.scheduleDials(time.Now())
		return
	}
	if p.dialing || p.closed || p.open+p.customerDials >= p.size {
		return
	}
	p.dialing = true
	go p.dialMissing()
}

// dialMissing dials until no connection is missing or the pool is closed, with
// backoff after failures.
func (p *Pool) dialMissing() {
	backoff := newDialBackoff()
	for {
		dialStart := time.Now()
		conn, err := p.opts.Dialer.Dial(p.ctx, p.opts.Target, "")
		dialTimes.Update(time.Since(dialStart).Seconds())
		p.opts.OnDial(p.opts.Target.ID, err)
		if err == nil {
			backoff = newDialBackoff()
		}
		if !p.addDialed(conn, err) {
			return
		}
		if err == nil {
			continue
		}
		select {
		case <-p.ctx.Done():
			p.addDialed(nil, nil)
			return
		case <-time.After(backoff.next(err, p.Load().Open > 0)):
		}
	}
}

// addDialed adds a newly dialed connection and reports whether more are
// missing.
func (p *Pool) addDialed(conn statement.Conn, err error) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && conn != nil {
		c := &Conn{Conn: conn, pool: p, Prepared: map[string]string{}, lastUsed: now}
		p.open++
		p.useOf("", now).open++
		p.keepOrClose(c, now)
	}
	if p.closed || p.byCustomer || p.open+p.customerDials >= p.size || p.ctx.Err() != nil {
		p.dialing = false
		if p.byCustomer {
			p.scheduleDials(now)
		}
		return false
	}
	return true
}
