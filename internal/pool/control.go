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
	statusInterval        = time.Second            // heartbeat of a control connection; failover polls primaries more often
	statusTimeout         = 300 * time.Millisecond // a status takes one round trip
	commandTimeout        = time.Second            // for Fence, Promote and Follow
	controlConnectTimeout = 400 * time.Millisecond // connecting takes up to 30 ms
	lockRetryInterval     = 20 * time.Millisecond  // between attempts to acquire the slot lock
	takeoverAfter         = time.Second            // another owner that still holds the lock after this time counts as silent and is evicted
	relockTimeout         = 2 * time.Second        // by then this host or another one has reacquired a lost lock
	minReconnectDelay     = 20 * time.Millisecond
	maxReconnectDelay     = 500 * time.Millisecond
)

// controlHooks are called by a controlConn while it holds no mutex.
type controlHooks struct {
	onStatus  func(st target.Status, sentAt time.Time) // for each status
	onFailure func(err *HealthError, sentAt time.Time) // for each failed connect or statement
	onLocked  func()                                   // after the slot lock was acquired, before anything relies on it
}

// controlConn maintains the control connection of one slot. It connects, waits
// for the slot lock and then holds it. After any failure it connects again. It
// implements target.Control.
type controlConn struct {
	target        topology.Target
	slot          int
	login         target.Login
	dial          target.DialFunc
	log           logr.Logger
	hooks         controlHooks
	statuses      statusCoalescer
	mayEvictOwner func(refusedFor time.Duration) bool // reports whether the lock's current owner may be evicted
	wantsLock     func() bool                         // reports whether the lock should be acquired
	onReady       func()                              // called once the lock may be relied on

	mu           sync.Mutex
	conn         *target.Conn
	connLost     chan struct{} // closed when conn fails
	locked       bool
	lockCount    uint64       // how often the lock was acquired
	lockRefused  bool         // another connection holds the lock
	failure      *HealthError // why there is no connection
	ownStaleLock bool         // the last connection went silent; the target may still keep its lock
	stopped      chan struct{}
	cancel       context.CancelFunc
}

func (c *controlConn) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.stopped = make(chan struct{})
	c.statuses.roundTrip = c.requestStatus
	go c.run(ctx)
}

// stop closes the connection, which releases the lock.
func (c *controlConn) stop() {
	c.cancel()
	<-c.stopped
}

func (c *controlConn) run(ctx context.Context) {
	defer close(c.stopped)
	wait := minReconnectDelay
	for ctx.Err() == nil && c.wantsLock() {
		conn, err := c.connect(ctx)
		if err != nil {
			sleep(ctx, wait/2+rand.N(wait/2))
			wait = min(2*wait, maxReconnectDelay)
			continue
		}
		if c.acquireLock(ctx, conn) {
			wait = minReconnectDelay
			c.heartbeat(ctx, conn)
		}
		c.closeIfCurrent(conn)
	}
}

func (c *controlConn) connect(ctx context.Context) (*target.Conn, error) {
	sentAt := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, controlConnectTimeout)
	defer cancel()
	conn, err := target.Dial(dialCtx, c.target.Addr, c.login, c.dial)
	if ctx.Err() != nil {
		if err == nil {
			closeControlConn(conn)
		}
		return nil, ctx.Err()
	}
	if err != nil {
		failure := connectFailure(err)
		c.mu.Lock()
		c.failure = failure
		c.mu.Unlock()
		controlFailures(failure.Kind).Inc()
		c.hooks.onFailure(failure, sentAt)
		return nil, failure
	}
	c.mu.Lock()
	c.conn = conn
	c.connLost = make(chan struct{})
	c.failure = nil
	c.mu.Unlock()
	return conn, nil
}

// heartbeat requests the status at intervals until the connection ends.
func (c *controlConn) heartbeat(ctx context.Context, conn *target.Conn) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	c.mu.Lock()
	connLost := c.connLost
	c.mu.Unlock()
	for {
		c.statuses.join()
		select {
		case <-ctx.Done():
			return
		case <-connLost:
			return
		case <-conn.Done():
			c.handleFailure(conn, errors.New("connection closed"), time.Now())
			return
		case <-ticker.C:
		}
	}
}

// requestStatus requests the status on the current connection, even if the
// connection doesn't hold the slot lock.
func (c *controlConn) requestStatus() (target.Status, error) {
	c.mu.Lock()
	conn, failure := c.conn, c.failure
	c.mu.Unlock()
	if conn == nil {
		return target.Status{}, c.notConnectedError(failure)
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	st, err := conn.Status(ctx)
	if err != nil {
		c.handleFailure(conn, err, sentAt)
		return target.Status{}, result.New(result.TargetDown, "%s: %s", c.target.ID, err)
	}
	c.hooks.onStatus(st, sentAt)
	return st, nil
}

func (c *controlConn) notConnectedError(failure *HealthError) error {
	if failure == nil {
		return result.New(result.TargetDown, "%s: not connected yet", c.target.ID)
	}
	return result.New(result.TargetDown, "%s: %s", c.target.ID, failure)
}

// handleFailure drops the connection after a failed statement. It reports only
// the first failure of a connection.
func (c *controlConn) handleFailure(conn *target.Conn, err error, sentAt time.Time) {
	failure := roundTripFailure(err)
	c.mu.Lock()
	current := c.conn == conn
	if current {
		c.conn, c.locked, c.failure = nil, false, failure
		close(c.connLost)
		c.ownStaleLock = c.ownStaleLock || failure.Kind == HealthSilent
	}
	c.mu.Unlock()
	if !current {
		return
	}
	controlFailures(failure.Kind).Inc()
	c.log.Info("control connection failed", "target", c.target.ID, "slot", c.slot, "kind", string(failure.Kind), "error", err.Error())
	go closeControlConn(conn)
	c.hooks.onFailure(failure, sentAt)
}

// closeIfCurrent closes conn if it is still the current connection.
func (c *controlConn) closeIfCurrent(conn *target.Conn) {
	c.mu.Lock()
	current := c.conn == conn
	if current {
		c.conn, c.locked = nil, false
	}
	c.mu.Unlock()
	if !current {
		return
	}
	closeControlConn(conn)
}

func closeControlConn(conn *target.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), terminateTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}

// downReason returns why the last attempt to connect failed. It returns nil
// while there is a connection. After the loss of a connection it also returns
// nil, until an attempt to connect again has failed.
func (c *controlConn) downReason() *HealthError {
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
