package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	watchInterval        = 250 * time.Millisecond
	idleTransactionLimit = 60 * time.Second // a caller that holds a connection for longer without using it loses it
)

// Cancel implements Executor: a waiting batch is refused, a running one
// canceled by the target.
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
		m.abandon(s)
	}
	return nil
}

// abandon ends a stream whose caller is gone.
func (m *Manager) abandon(s *stream) {
	s.kill()
	s.run.Lock()
	defer s.run.Unlock()
	m.end(s, false)
	m.streams.remove(s, time.Now())
}

// endStreamsOf rolls back what still runs at a slot.
func (m *Manager) endStreamsOf(sl *slot) {
	for _, s := range m.streams.all() {
		if s.uses(sl) {
			m.abandon(s)
		}
	}
}

// watchStreams ends streams that nobody uses any more.
func (m *Manager) watchStreams(ctx context.Context) {
	defer m.wg.Done()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	hosts := newEntryHosts()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.endIdle(time.Now())
			m.endReplaced()
			m.endOrphans(ctx, hosts)
		}
	}
}

func (m *Manager) endIdle(now time.Time) {
	for _, s := range m.streams.all() {
		if usedAt, idle := s.idleSince(); idle && now.Sub(usedAt) > idleTransactionLimit {
			endedStreams.Inc()
			m.opts.Log.Info("idle stream ended", "host", s.id.Host, "seq", s.id.Seq)
			m.abandon(s)
		}
	}
}
