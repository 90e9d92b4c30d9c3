package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	statusInterval = time.Second            // heartbeat of a control connection; failover polls primaries more often
	statusTimeout  = 300 * time.Millisecond // a status takes one round trip
	orderTimeout   = time.Second            // a fence, promotion or follow
	controlConnect = 400 * time.Millisecond // connecting costs up to 30 ms
	lockRetry      = 20 * time.Millisecond  // between attempts at a slot's lock
	takeoverAfter  = time.Second            // of refused locks until a silent predecessor is ended
	relockTimeout  = 2 * time.Second        // a lost lock is taken again sooner, or by another host
	reconnectMin   = 20 * time.Millisecond
	reconnectMax   = 500 * time.Millisecond
)

// controlHooks are called by a control without any lock held.
type controlHooks struct {
	answered func(st target.Status, sentAt time.Time) // each status
	failed   func(err *HealthError, sentAt time.Time) // each failed connect or status
	locked   func()                                   // the slot's lock was taken; before anybody may use it
}

// control keeps the control connection of one slot: connecting, then waiting
// for the slot's lock, then holding it. Any failure leads back to connecting.
// It implements target.Control.
type control struct {
	target topology.Target
	slot   int
	login  target.Login
	dial   target.DialFunc
	log    logr.Logger
	hooks  controlHooks
	rounds rounds
	mayEnd func(refusedFor time.Duration) bool // the lock's other owner may be ended
	wanted func() bool                         // the lock is to be taken
	ready  func()                              // called once the lock may be used

	mu      sync.Mutex
	conn    *target.Conn
	over    chan struct{} // closed when conn failed
	locked  bool
	locks   uint64       // how often the lock was taken
	refused bool         // another connection has the lock
	failure *HealthError // why there is no connection
	forgot  bool         // the last connection went silent: the target may still keep its lock
	stopped chan struct{}
	cancel  context.CancelFunc
}

func (c *control) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.stopped = make(chan struct{})
	c.rounds.run = c.roundTrip
	go c.run(ctx)
}

// stop closes the connection, which releases the lock.
func (c *control) stop() {
	c.cancel()
	<-c.stopped
}

func (c *control) run(ctx context.Context) {
	defer close(c.stopped)
	wait := reconnectMin
	for ctx.Err() == nil && c.wanted() {
		conn, err := c.connect(ctx)
		if err != nil {
			pause(ctx, wait/2+rand.N(wait/2))
			wait = min(2*wait, reconnectMax)
			continue
		}
		if c.lock(ctx, conn) {
			wait = reconnectMin
			c.beat(ctx, conn)
		}
		c.drop(conn)
	}
}

func (c *control) connect(ctx context.Context) (*target.Conn, error) {
	sentAt := time.Now()
	dialCtx, done := context.WithTimeout(ctx, controlConnect)
	defer done()
	conn, err := target.Dial(dialCtx, c.target.Addr, c.login, c.dial)
	if ctx.Err() != nil {
		if err == nil {
			closeControl(conn)
		}
		return nil, ctx.Err()
	}
	if err != nil {
		failure := connectFailure(err)
		c.mu.Lock()
		c.failure = failure
		c.mu.Unlock()
		controlFailures(failure.Kind).Inc()
		c.hooks.failed(failure, sentAt)
		return nil, failure
	}
	c.mu.Lock()
	c.conn = conn
	c.over = make(chan struct{})
	c.failure = nil
	c.mu.Unlock()
	return conn, nil
}

// beat asks for the status at intervals until the connection is over.
func (c *control) beat(ctx context.Context, conn *target.Conn) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	c.mu.Lock()
	over := c.over
	c.mu.Unlock()
	for {
		c.rounds.join()
		select {
		case <-ctx.Done():
			return
		case <-over:
			return
		case <-conn.Done():
			c.reportRoundTrip(conn, errors.New("connection closed"), time.Now())
			return
		case <-ticker.C:
		}
	}
}

// roundTrip asks for the status on the current connection, locked or not.
func (c *control) roundTrip() (target.Status, error) {
	c.mu.Lock()
	conn, failure := c.conn, c.failure
	c.mu.Unlock()
	if conn == nil {
		return target.Status{}, c.noConnection(failure)
	}
	sentAt := time.Now()
	ctx, done := context.WithTimeout(context.Background(), statusTimeout)
	defer done()
	st, err := conn.Status(ctx)
	if err != nil {
		c.reportRoundTrip(conn, err, sentAt)
		return target.Status{}, result.New(result.TargetDown, "%s: %s", c.target.ID, err)
	}
	c.hooks.answered(st, sentAt)
	return st, nil
}

func (c *control) noConnection(failure *HealthError) error {
	if failure == nil {
		return result.New(result.TargetDown, "%s: not connected yet", c.target.ID)
	}
	return result.New(result.TargetDown, "%s: %s", c.target.ID, failure)
}

// reportRoundTrip drops the connection after a failed statement. Only the
// first failure of a connection is reported.
func (c *control) reportRoundTrip(conn *target.Conn, err error, sentAt time.Time) {
	failure := roundTripFailure(err)
	c.mu.Lock()
	current := c.conn == conn
	if current {
		c.conn, c.locked, c.failure = nil, false, failure
		close(c.over)
		c.forgot = c.forgot || failure.Kind == HealthSilent
	}
	c.mu.Unlock()
	if !current {
		return
	}
	controlFailures(failure.Kind).Inc()
	c.log.Info("control connection failed", "target", c.target.ID, "slot", c.slot, "kind", string(failure.Kind), "error", err.Error())
	go closeControl(conn)
	c.hooks.failed(failure, sentAt)
}

// drop closes the connection if it is still the current one.
func (c *control) drop(conn *target.Conn) {
	c.mu.Lock()
	current := c.conn == conn
	if current {
		c.conn, c.locked = nil, false
	}
	c.mu.Unlock()
	if !current {
		return
	}
	closeControl(conn)
}

func closeControl(conn *target.Conn) {
	ctx, done := context.WithTimeout(context.Background(), goodbyeTimeout)
	defer done()
	_ = conn.Close(ctx)
}

// down returns why the last attempt to connect failed; nil while there is a
// connection or none was tried since the last one was lost.
func (c *control) down() *HealthError {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil || c.failure == nil {
		return nil
	}
	if c.failure.Kind == HealthBroken || c.failure.Kind == HealthSilent {
		return nil
	}
	return c.failure
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
