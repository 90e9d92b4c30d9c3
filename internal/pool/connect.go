package pool

import (
	"context"
	"time"
)

// openMore opens connections for the requests that wait, within the slot's
// share and only with its lock. Needs s.mu.
func (s *slot) openMore() {
	if !s.control.holds() {
		return
	}
	if wait := time.Until(s.retryAt); wait > 0 {
		return
	}
	for s.opening < s.queue.len() && s.open < s.limit() {
		s.opening++
		s.open++
		go s.openOne()
	}
}

func (s *slot) openOne() {
	began := time.Now()
	ctx, done := context.WithTimeout(context.Background(), dataConnect)
	defer done()
	c, err := openConn(ctx, s.target(), s.opts.Login, s.opts.Dial)
	if err != nil {
		connectFailures.Inc()
		s.notOpened(connectFailure(err))
		return
	}
	connects.Inc()
	connectSeconds.UpdateDuration(began)
	s.opened(c)
}

func (s *slot) opened(c *conn) {
	s.mu.Lock()
	s.opening--
	if s.done() {
		s.open--
		s.mu.Unlock()
		c.bye()
		return
	}
	s.idle = append(s.idle, c)
	s.dispatchLocked()
	s.mu.Unlock()
}

// notOpened refuses the waiting requests when no other connection can serve them.
func (s *slot) notOpened(failure *HealthError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	s.open--
	s.retryAt = time.Now().Add(retryConnect)
	time.AfterFunc(retryConnect, s.dispatch)
	if s.open > 0 && failure.Kind == HealthFull {
		return
	}
	s.failQueueLocked(connectRefusal(s.id, failure))
}
