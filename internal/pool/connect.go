package pool

import (
	"context"
	"time"
)

// openConnections opens connections for queued requests, within the slot's
// share and only while the slot lock is held. The caller must hold s.mu.
func (s *slot) openConnections() {
	if !s.control.holdsLock() {
		return
	}
	if wait := time.Until(s.connectRetryAt); wait > 0 {
		return
	}
	for s.openingConns < s.queue.len() && s.openConns < s.streamLimit() {
		s.openingConns++
		s.openConns++
		go s.openConnection()
	}
}

func (s *slot) openConnection() {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), dataConnectTimeout)
	defer cancel()
	c, err := openConn(ctx, s.target(), s.opts.Login, s.opts.Dial)
	if err != nil {
		connectFailures.Inc()
		s.onOpenFailed(connectFailure(err))
		return
	}
	connects.Inc()
	connectSeconds.UpdateDuration(began)
	s.onOpened(c)
}

func (s *slot) onOpened(c *conn) {
	s.mu.Lock()
	s.openingConns--
	if s.finished() {
		s.openConns--
		s.mu.Unlock()
		c.terminate()
		return
	}
	s.idle = append(s.idle, c)
	s.dispatchLocked()
	s.mu.Unlock()
}

// onOpenFailed schedules a retry and refuses the queued requests. It keeps them
// queued if the target merely has no connections left and other open
// connections can serve them.
func (s *slot) onOpenFailed(failure *HealthError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openingConns--
	s.openConns--
	s.connectRetryAt = time.Now().Add(connectRetryDelay)
	time.AfterFunc(connectRetryDelay, s.dispatch)
	if s.openConns > 0 && failure.Kind == HealthFull {
		return
	}
	s.failQueueLocked(connectRefusal(s.id, failure))
}
