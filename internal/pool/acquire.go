package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	dataConnect  = time.Second           // connecting costs up to 30 ms
	retryConnect = 50 * time.Millisecond // after the target refused a connection
	leavingGrace = 3 * time.Second       // for a leaving primary's writes until another is promoted
)

// acquire returns a connection that the caller owns until it gives it to
// release. Its refusals are true: nothing was sent. checked asks for a connection
// that has just answered.
func (s *slot) acquire(ctx context.Context, a arrival, checked bool) (*conn, error) {
	began := time.Now()
	deadline := began.Add(a.timeLeft)
	for {
		a.timeLeft = time.Until(deadline)
		c, err := s.acquireOnce(ctx, a)
		if err != nil {
			return nil, err
		}
		if s.usable(c, checked) {
			queueSeconds.UpdateDuration(began)
			return c, nil
		}
	}
}

// usable checks a connection that was idle for long, and closes those that
// have been idle as long when it is silent.
func (s *slot) usable(c *conn, checked bool) bool {
	idle := c.idleFor(time.Now())
	if c.hungUp() {
		s.release(c, false)
		return false
	}
	if idle < idleCheck && !checked {
		return true
	}
	if c.check() == nil {
		return true
	}
	silentConns.Inc()
	s.opts.Log.Info("idle connection is silent", "target", s.id, "slot", s.number, "idle_ms", idle.Milliseconds())
	s.closeIdle(func(other *conn) bool { return other.idleFor(time.Now()) >= idleCheck })
	s.release(c, false)
	return false
}

func (s *slot) acquireOnce(ctx context.Context, a arrival) (*conn, error) {
	s.mu.Lock()
	if err := s.closedTo(); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if c := s.takeIdle(); c != nil {
		s.mu.Unlock()
		return c, nil
	}
	t, evicted, refusal := s.queue.push(time.Now(), a, s.limit(), s.streams)
	if evicted != nil {
		evicted.grant <- grant{err: s.queue.full(time.Now(), s.limit())}
	}
	if refusal != nil {
		s.mu.Unlock()
		return nil, refusal
	}
	s.openMore()
	s.mu.Unlock()
	return s.wait(ctx, t, a.timeLeft)
}

// closedTo tells why the slot takes no new stream.
func (s *slot) closedTo() error {
	switch {
	case s.draining:
		return s.handedOver()
	case s.control.refusedLock():
		return result.New(result.NotHolder, "slot %d of %s is still held elsewhere", s.number, s.id).After(retryConnect)
	}
	if failure := s.control.down(); failure != nil {
		return connectRefusal(s.id, failure)
	}
	return nil
}

// connectRefusal returns the code for requests that a failed connect leaves
// without a connection.
func connectRefusal(id topology.TargetID, failure *HealthError) *result.Error {
	code := result.TargetDown
	if failure.Kind == HealthFull {
		code = result.TooManyConnections
	}
	return result.New(code, "%s: %s", id, failure).After(retryConnect)
}

// takeIdle returns the most recently used idle connection, nil without one or
// when others wait for it.
func (s *slot) takeIdle() *conn {
	if len(s.idle) == 0 || s.queue.len() > 0 || !s.control.holds() {
		return nil
	}
	last := len(s.idle) - 1
	c := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	s.streams++
	return c
}

// limit returns how many connections the slot may use for streams.
func (s *slot) limit() int { return slotShare(s.held.Target) - 1 }

func (s *slot) wait(ctx context.Context, t *ticket, timeLeft time.Duration) (*conn, error) {
	timer := time.NewTimer(timeLeft)
	defer timer.Stop()
	select {
	case g := <-t.grant:
		return g.take()
	case <-ctx.Done():
		return s.giveUp(t, result.New(result.Canceled, "canceled while waiting for a connection"))
	case <-timer.C:
		return s.giveUp(t, result.New(result.DeadlinePassed, "no connection to %s became free", s.id))
	}
}

func (g grant) take() (*conn, error) {
	if g.err != nil {
		return nil, g.err
	}
	return g.conn, nil
}

// giveUp ends a wait; a connection granted meanwhile goes to the next.
func (s *slot) giveUp(t *ticket, e *result.Error) (*conn, error) {
	s.mu.Lock()
	waited := s.queue.remove(t)
	s.endIfDrained()
	s.mu.Unlock()
	if waited {
		return nil, e
	}
	if g := <-t.grant; g.conn != nil {
		s.release(g.conn, true)
	}
	return nil, e
}

// release takes a connection back from a stream; reusable only if it is idle
// with every answer read.
func (s *slot) release(c *conn, reusable bool) {
	s.mu.Lock()
	s.streams--
	if !reusable || s.done() || c.closed.Load() {
		s.open--
		s.openMore()
		s.endIfDrained()
		s.mu.Unlock()
		if reusable {
			go c.bye()
		} else {
			c.close()
		}
		return
	}
	s.idle = append(s.idle, c)
	s.dispatchLocked()
	s.mu.Unlock()
}

// serviceTime returns the mean time for which a stream uses a connection.
func (s *slot) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.times.all
}

// observe notes for how long a customer's stream used a connection.
func (s *slot) observe(customer topology.CustomerID, used time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.times.observe(customer, used)
	s.repeats.earn()
}

// mayRepeat takes a repeated read from the slot's budget.
func (s *slot) mayRepeat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeats.spend()
}

// dispatch serves waiting requests; called when the slot's lock was taken.
func (s *slot) dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchLocked()
	s.openMore()
}

func (s *slot) dispatchLocked() {
	for len(s.idle) > 0 && s.queue.len() > 0 && s.control.holds() {
		last := len(s.idle) - 1
		c := s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		s.streams++
		s.queue.pop().grant <- grant{conn: c}
	}
}
