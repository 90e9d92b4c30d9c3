package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	dataConnectTimeout = time.Second           // connecting takes up to 30 ms
	connectRetryDelay  = 50 * time.Millisecond // after the target refused a connection

	// leavingWriteGrace is how long a leaving primary still accepts writes, so
	// that another target can be promoted in the meantime.
	leavingWriteGrace = 3 * time.Second
)

// acquire returns a data connection and queues for one if none is free. The
// caller owns the connection until it calls release. If acquire returns an
// error, nothing was sent to the target. If mustProbe is set, the returned
// connection has just answered a probe.
func (s *slot) acquire(ctx context.Context, a arrival, mustProbe bool) (*conn, error) {
	began := time.Now()
	deadline := began.Add(a.timeLeft)
	for {
		a.timeLeft = time.Until(deadline)
		c, err := s.acquireOnce(ctx, a)
		if err != nil {
			return nil, err
		}
		if s.validate(c, mustProbe) {
			queueSeconds.UpdateDuration(began)
			return c, nil
		}
	}
}

// validate reports whether a connection taken from the pool can be used, and
// closes it if not. It probes a connection that has been idle for a while, and
// every connection if mustProbe is set. If the probe fails, validate also
// closes all other connections that have been idle for at least idleProbeAfter.
func (s *slot) validate(c *conn, mustProbe bool) bool {
	idle := c.silentFor(time.Now())
	if c.peerClosed() {
		s.release(c, false)
		return false
	}
	if idle < idleProbeAfter && !mustProbe {
		return true
	}
	if c.probe() == nil {
		return true
	}
	silentConns.Inc()
	s.opts.Log.Info("idle connection did not answer a probe", "target", s.id, "slot", s.number, "idle_ms", idle.Milliseconds())
	s.closeIdle(func(other *conn) bool { return other.silentFor(time.Now()) >= idleProbeAfter })
	s.release(c, false)
	return false
}

// acquireOnce takes an idle connection or queues for one, without validating
// it.
func (s *slot) acquireOnce(ctx context.Context, a arrival) (*conn, error) {
	s.mu.Lock()
	if err := s.checkOpen(); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if c := s.takeIdle(); c != nil {
		s.mu.Unlock()
		return c, nil
	}
	t, evicted, refusal := s.queue.push(time.Now(), a, s.streamLimit(), s.activeStreams)
	if evicted != nil {
		evicted.grant <- grant{err: s.queue.queueFullRefusal(time.Now(), s.streamLimit())}
	}
	if refusal != nil {
		s.mu.Unlock()
		return nil, refusal
	}
	s.openConnections()
	s.mu.Unlock()
	return s.awaitGrant(ctx, t, a.timeLeft)
}

// checkOpen returns an error if the slot accepts no new stream. The caller must
// hold s.mu.
func (s *slot) checkOpen() error {
	switch {
	case s.draining:
		return s.handedOverRefusal()
	case s.control.lockHeldElsewhere():
		return result.New(result.NotHolder, "the lock of slot %d of %s is held by another connection", s.number, s.id).WithRetryAfter(connectRetryDelay)
	}
	if failure := s.control.downReason(); failure != nil {
		return connectRefusal(s.id, failure)
	}
	return nil
}

// connectRefusal returns the refusal for requests that got no connection
// because connecting to the target failed.
func connectRefusal(id topology.TargetID, failure *HealthError) *result.Error {
	code := result.TargetDown
	if failure.Kind == HealthFull {
		code = result.TooManyConnections
	}
	return result.New(code, "%s: %s", id, failure).WithRetryAfter(connectRetryDelay)
}

// takeIdle returns the most recently used idle connection. It returns nil if
// there is none, if other requests are queued or if the slot lock isn't held.
// The caller must hold s.mu.
func (s *slot) takeIdle() *conn {
	if len(s.idle) == 0 || s.queue.len() > 0 || !s.control.holdsLock() {
		return nil
	}
	last := len(s.idle) - 1
	c := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	s.activeStreams++
	return c
}

// streamLimit returns how many connections streams may use: the slot's share
// without the control connection.
func (s *slot) streamLimit() int { return slotShare(s.held.Target) - 1 }

// awaitGrant waits until the queued request gets a connection or a refusal, ctx
// ends or timeLeft has passed.
func (s *slot) awaitGrant(ctx context.Context, t *ticket, timeLeft time.Duration) (*conn, error) {
	timer := time.NewTimer(timeLeft)
	defer timer.Stop()
	select {
	case g := <-t.grant:
		return g.unpack()
	case <-ctx.Done():
		return s.cancelWait(t, result.New(result.Canceled, "canceled while waiting for a connection"))
	case <-timer.C:
		return s.cancelWait(t, result.New(result.DeadlinePassed, "timed out waiting for a connection to %s", s.id))
	}
}

func (g grant) unpack() (*conn, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g.conn, nil
}

// cancelWait removes a ticket from the queue and returns e. If the ticket was
// granted a connection in the meantime, cancelWait releases the connection.
func (s *slot) cancelWait(t *ticket, e *result.Error) (*conn, error) {
	s.mu.Lock()
	stillQueued := s.queue.remove(t)
	s.signalIfDrained()
	s.mu.Unlock()
	if stillQueued {
		return nil, e
	}
	if g := <-t.grant; g.conn != nil {
		s.release(g.conn, true)
	}
	return nil, e
}

// release takes a connection back from a stream. It keeps the connection for
// reuse only if reusable is set, which requires that the connection is idle and
// every response has been read.
func (s *slot) release(c *conn, reusable bool) {
	s.mu.Lock()
	s.activeStreams--
	if !reusable || s.finished() || c.closed.Load() {
		s.openConns--
		s.openConnections()
		s.signalIfDrained()
		s.mu.Unlock()
		if reusable {
			go c.terminate()
		} else {
			c.close()
		}
		return
	}
	s.idle = append(s.idle, c)
	s.dispatchLocked()
	s.mu.Unlock()
}

// meanServiceTime returns how long a stream uses a connection on average.
func (s *slot) meanServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.times.overallMean
}

// recordServiceTime records how long a customer's stream used a connection.
func (s *slot) recordServiceTime(customer topology.CustomerID, used time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.times.record(customer, used)
	s.readRetries.recordBatch()
}

// allowReadRetry takes one read retry from the slot's budget and reports
// whether the budget allowed it.
func (s *slot) allowReadRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readRetries.tryTake()
}

// dispatch hands idle connections to queued requests and opens more connections
// if needed. It runs after the slot lock was acquired and when a failed connect
// may be retried.
func (s *slot) dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchLocked()
	s.openConnections()
}

// dispatchLocked hands idle connections to queued requests. The caller must
// hold s.mu.
func (s *slot) dispatchLocked() {
	for len(s.idle) > 0 && s.queue.len() > 0 && s.control.holdsLock() {
		last := len(s.idle) - 1
		c := s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		s.activeStreams++
		s.queue.pop().grant <- grant{conn: c}
	}
}
