package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	streamCheckInterval    = 250 * time.Millisecond
	idleTransactionTimeout = 60 * time.Second // a stream that keeps a connection unused for longer is aborted
)

// Cancel implements Executor. It refuses a queued batch and asks the target to
// cancel a running one.
func (m *Manager) Cancel(ctx context.Context, id StreamID) error {
	s := m.streams.get(id)
	if s == nil {
		return nil
	}
	c := s.connection()
	if c == nil {
		s.cancel()
		return nil
	}
	if err := c.cancel(ctx); err != nil {
		return result.New(result.TargetDown, "cancel: %s", err)
	}
	return nil
}

// Release implements Executor.
func (m *Manager) Release(_ context.Context, id StreamID) error {
	if s := m.streams.get(id); s != nil {
		m.abortStream(s)
	}
	return nil
}

// abortStream closes a stream's connection, so that the target rolls back, and
// removes the stream.
func (m *Manager) abortStream(s *stream) {
	s.kill()
	s.runMu.Lock()
	defer s.runMu.Unlock()
	m.endStream(s, false)
	m.streams.remove(s, time.Now())
}

// abortStreamsOf aborts all streams that use a connection of the slot.
func (m *Manager) abortStreamsOf(sl *slot) {
	for _, s := range m.streams.all() {
		if s.usesSlot(sl) {
			m.abortStream(s)
		}
	}
}

// monitorStreams periodically aborts streams that have been idle for too long,
// that wait for a replaced primary or whose entry host is gone.
func (m *Manager) monitorStreams(ctx context.Context) {
	defer m.wg.Done()
	ticker := time.NewTicker(streamCheckInterval)
	defer ticker.Stop()
	tracker := newHostTracker()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.abortIdleStreams(time.Now())
			m.abortReplacedPrimaryStreams()
			m.abortOrphans(ctx, tracker)
		}
	}
}

// abortIdleStreams aborts streams that have been idle for longer than
// idleTransactionTimeout.
func (m *Manager) abortIdleStreams(now time.Time) {
	for _, s := range m.streams.all() {
		if usedAt, idle := s.idleSince(); idle && now.Sub(usedAt) > idleTransactionTimeout {
			abandonedStreams.Inc()
			m.opts.Log.Info("aborted idle stream", "host", s.id.Host, "seq", s.id.Seq)
			m.abortStream(s)
		}
	}
}
