package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	minFirstByteTimeout    = 500 * time.Millisecond
	firstByteTimeoutFactor = 8   // times the slot's mean service time
	readRetryShare         = 0.1 // retries earned per batch
	readRetryBurst         = 32  // retries after a quiet period: all connections may go silent at once
)

var errSilentRead = errors.New("no byte of the response arrived")

// firstByteTimeout returns how long a read waits for the first byte of its
// response before it is retried on another connection. It returns false if left
// is too short for a retry.
func firstByteTimeout(service, left time.Duration) (time.Duration, bool) {
	wait := max(minFirstByteTimeout, firstByteTimeoutFactor*service)
	return wait, 2*wait <= left
}

// readRetryBudget limits read retries, so that a slow target doesn't get twice
// the load. The zero value allows readRetryBurst retries.
type readRetryBudget struct{ used float64 }

// recordBatch adds readRetryShare to the budget for a completed batch.
func (b *readRetryBudget) recordBatch() { b.used = max(b.used-readRetryShare, 0) }

// tryTake takes one retry from the budget and reports whether one was left.
func (b *readRetryBudget) tryTake() bool {
	if b.used+1 > readRetryBurst {
		return false
	}
	b.used++
	return true
}

// awaitFirstByte waits for the start of the response to a read that may be
// retried. It returns errSilentRead if the connection stays silent and the
// budget allows a retry.
func (m *Manager) awaitFirstByte(s *stream, c *conn) error {
	if s.retried || !m.describeInterruption(s, true).retryable() {
		return nil
	}
	wait, hasTime := firstByteTimeout(s.slot.meanServiceTime(), time.Until(s.deadline))
	if !hasTime {
		return nil
	}
	if err := c.net.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	err := c.awaitData()
	if isTimeout(err) && s.slot.allowReadRetry() {
		return errSilentRead
	}
	if err != nil && !isTimeout(err) {
		return err
	}
	return c.net.SetReadDeadline(s.deadline)
}

// retryRead runs a read once more, on a connection that has just answered a
// probe.
func (m *Manager) retryRead(ctx context.Context, s *stream, silent *conn) (*Reply, error) {
	retriedReads.Inc()
	sl := s.slot
	m.opts.Log.V(1).Info("retrying read on another connection", "target", sl.id, "slot", sl.number)
	go silent.cancelBestEffort()
	m.endStream(s, false)
	s.retried = true
	if err := m.connectStream(ctx, s, sl, true); err != nil {
		return m.refusal(sl, s.req, err)
	}
	return m.runBatch(ctx, s)
}
