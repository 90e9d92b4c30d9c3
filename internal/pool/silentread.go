package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	silentReadMin    = 500 * time.Millisecond // without a byte of the answer, at least
	silentReadFactor = 8                      // times the slot's mean service time
)

var errSilentRead = errors.New("no byte of the answer arrived")

// silentReadAfter returns how long a read waits for the first byte before it
// tries another connection.
func silentReadAfter(service, left time.Duration) time.Duration {
	return min(max(silentReadMin, silentReadFactor*service), left/2)
}

// firstByte waits for the start of the answer to a read that may be repeated,
// on a connection that may be silent.
func (m *Manager) firstByte(s *stream, c *conn) error {
	if s.retried || !m.brokenState(s, true).repeatable() {
		return nil
	}
	wait := silentReadAfter(s.slot.serviceTime(), time.Until(s.deadline))
	if err := c.net.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	err := c.awaitByte()
	if isTimeout(err) {
		return errSilentRead
	}
	if err != nil {
		return err
	}
	return c.net.SetReadDeadline(s.deadline)
}

// repeatRead runs a read once more, on a connection that has just answered.
func (m *Manager) repeatRead(ctx context.Context, s *stream, silent *conn) (*Reply, error) {
	retriedReads.Inc()
	sl := s.slot
	m.opts.Log.V(1).Info("read repeated on another connection", "target", sl.id, "slot", sl.number)
	go silent.cancelQuietly()
	m.end(s, false)
	s.retried = true
	if err := m.connect(ctx, s, sl, true); err != nil {
		return m.refusal(sl, s.req, err)
	}
	return m.runBatch(ctx, s)
}
