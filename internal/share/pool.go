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
	firstRetry = 100 * time.Millisecond // after a failed dial; a target that restarts takes seconds
	lastRetry  = 1 * time.Second        // between later dials
	// fullRetry is the pause after a target refused a connection for being at
	// its limit. Connections of hosts that lost power linger there for seconds.
	fullRetry = 200 * time.Millisecond
	// lastFullRetry bounds that pause, which doubles while the target is full.
	lastFullRetry = 800 * time.Millisecond
	// typicalHold is the guess of how long a request keeps a connection before
	// any was measured: some milliseconds of work and a round trip.
	typicalHold = 10 * time.Millisecond
	holdWeight  = 16 // part of the running mean that each measurement replaces
)

// Refusals of Acquire. Nothing was sent.
var (
	ErrTooLong = errors.New("the wait for a connection would be too long")
	ErrClosed  = errors.New("the target has left")
	ErrNone    = errors.New("no connection to the target is open")
)

// waits is how long requests waited for a connection, those included that got none.
var waits = metrics.NewHistogram("nettlewalk_connection_wait_seconds")

// dialTimes is how long dials of targets took, failed ones included.
var dialTimes = metrics.NewHistogram("nettlewalk_target_dial_seconds")

// Options configures a Pool.
type Options struct {
	Target topology.Target
	Dialer statement.Dialer
	Size   int // connections to keep open
	// Dialed is told the outcome of each dial; err is a *statement.DialError.
	Dialed func(topology.TargetID, error)
}

// Pool keeps connections to one target. Safe for concurrent use.
type Pool struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	size    int
	open    int // idle and in use
	idle    []*Conn
	waiting queue
	grants  grants
	hold    time.Duration // running mean of how long a connection is held
	filling bool
	closed  bool
}

// NewPool returns a pool that begins to open its connections.
func NewPool(opts Options) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{opts: opts, ctx: ctx, stop: stop, size: opts.Size, hold: typicalHold}
	p.mu.Lock()
	p.fill()
	p.mu.Unlock()
	return p
}

// Load is how busy a pool is.
type Load struct {
	Open, Idle, Waiting int
	Size                int
	Hold                time.Duration // mean time that a connection is held
}

// Load returns the present load.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{Open: p.open, Idle: len(p.idle), Waiting: len(p.waiting.list), Size: p.size, Hold: p.hold}
}

// SetSize changes how many connections are kept open.
func (p *Pool) SetSize(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.size = n
	for len(p.idle) > 0 && p.open > p.size {
		p.drop(p.idle[0])
		p.idle = p.idle[1:]
	}
	p.fill()
}

// TryAcquire returns an idle connection, nil if there is none.
func (p *Pool) TryAcquire() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeIdle(time.Now())
}

// Acquire returns a connection, waiting for one until the deadline at most, and
// no longer than patience: a request that would most likely wait longer is
// refused at once. Errors are ErrTooLong, ErrClosed and ErrNone.
func (p *Pool) Acquire(deadline time.Time, patience time.Duration, priority int) (*Conn, error) {
	now := time.Now()
	p.mu.Lock()
	if c := p.takeIdle(now); c != nil {
		p.grants.add(priority, now)
		p.mu.Unlock()
		return c, nil
	}
	if err := p.admit(now, deadline, patience, priority); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	if patient := now.Add(patience); patient.Before(deadline) {
		deadline = patient
	}
	w := &waiter{priority: priority, arrived: now, deadline: deadline, granted: make(chan *Conn, 1)}
	p.waiting.add(w)
	p.mu.Unlock()
	return p.wait(w)
}

func (p *Pool) admit(now, deadline time.Time, patience time.Duration, priority int) error {
	switch {
	case p.closed:
		return ErrClosed
	case p.open == 0:
		return ErrNone
	}
	expected := expectedWait(p.waiting.ahead(priority), p.open, p.hold, p.grants.left(priority, p.open, p.hold, now))
	if expected > patience || now.Add(expected).After(deadline) {
		return ErrTooLong
	}
	return nil
}

func (p *Pool) wait(w *waiter) (*Conn, error) {
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	defer func() { waits.Update(time.Since(w.arrived).Seconds()) }()
	select {
	case c := <-w.granted:
		return granted(c)
	case <-timer.C:
	}
	p.mu.Lock()
	stillWaits := p.waiting.remove(w)
	p.mu.Unlock()
	if stillWaits {
		return nil, ErrTooLong
	}
	return granted(<-w.granted)
}

func granted(c *Conn) (*Conn, error) {
	if c == nil {
		return nil, ErrTooLong
	}
	return c, nil
}

// Release gives a connection back. An unusable one is closed and replaced.
func (p *Pool) Release(c *Conn, usable bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold += (now.Sub(c.held) - p.hold) / holdWeight
	c.lastUsed = now
	if !usable || p.closed || p.open > p.size {
		p.drop(c)
		p.fill()
		return
	}
	p.grant(c, now)
}

// grant gives a free connection to who waits first, or keeps it idle.
func (p *Pool) grant(c *Conn, now time.Time) {
	if w := p.waiting.next(now); w != nil {
		c.held = now
		p.grants.add(w.priority, now)
		w.granted <- c
		return
	}
	p.idle = append(p.idle, c)
}

// takeIdle returns the connection that was used last.
func (p *Pool) takeIdle(now time.Time) *Conn {
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	c.held = now
	return c
}

func (p *Pool) drop(c *Conn) {
	p.open--
	c.Close()
}

// DropIdle closes the idle connections, which may have gone silent.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
	p.fill()
}

// Close closes idle connections now and the others when they are released.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
	for _, w := range p.waiting.list {
		close(w.granted)
	}
	p.waiting.list = nil
}

// fill opens what is missing, one connection at a time: each takes one of the
// target's few work slots for a while.
func (p *Pool) fill() {
	if p.filling || p.closed || p.open >= p.size {
		return
	}
	p.filling = true
	go p.fillLoop()
}

func (p *Pool) fillLoop() {
	delay, full := firstRetry, fullRetry
	for {
		began := time.Now()
		conn, err := p.opts.Dialer.Dial(p.ctx, p.opts.Target)
		dialTimes.Update(time.Since(began).Seconds())
		p.opts.Dialed(p.opts.Target.ID, err)
		if err == nil {
			delay, full = firstRetry, fullRetry
		}
		if !p.take(conn, err) {
			return
		}
		if err == nil {
			continue
		}
		var failure *statement.DialError
		wait := delay
		if errors.As(err, &failure) && (failure.Outcome == statement.DialRejected || failure.Outcome == statement.DialMute) {
			wait, full = full, min(2*full, lastFullRetry)
		} else {
			delay = min(2*delay, lastRetry)
		}
		select {
		case <-p.ctx.Done():
			p.take(nil, nil)
			return
		case <-time.After(wait):
		}
	}
}

// take adds a new connection and tells whether more are missing.
func (p *Pool) take(conn statement.Conn, err error) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && conn != nil {
		c := &Conn{Conn: conn, Prepared: map[string]string{}, lastUsed: now}
		p.open++
		if p.closed {
			p.drop(c)
		} else {
			p.grant(c, now)
		}
	}
	if p.closed || p.open >= p.size || p.ctx.Err() != nil {
		p.filling = false
		return false
	}
	return true
}
