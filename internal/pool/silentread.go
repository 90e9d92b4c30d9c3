package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	silentReadMin    = 500 * time.Millisecond // without a byte of the answer, at least
	silentReadFactor = 8                      // times the slot's mean service time
	repeatShare      = 0.1                    // repeated reads per batch
	repeatBurst      = 32                     // repeated reads after a quiet time: all connections may go silent at once
)

var errSilentRead = errors.New("no byte of the answer arrived")

// silentReadAfter returns how long a read waits for the first byte before it
// tries another connection; false if that leaves no time for it.
func silentReadAfter(service, left time.Duration) (time.Duration, bool) {
	wait := max(silentReadMin, silentReadFactor*service)
	return wait, 2*wait <= left
}

// repeatBudget bounds repeated reads, so that a slow target isn't given twice
// the work. The zero value allows repeatBurst reads.
type repeatBudget struct{ spent float64 }

// earn counts a batch.
func (b *repeatBudget) earn() { b.spent = max(b.spent-repeatShare, 0) }

// spend takes a repeated read from the budget; false if none is left.
func (b *repeatBudget) spend() bool {
	if b.spent+1 > repeatBurst {
		return false
	}
	b.spent++
	return true
}

// firstByte waits for the start of the answer to a read that may be repeated,
// on a connection that may be silent.
func (m *Manager) firstByte(s *stream, c *conn) error {
	if s.retried || !m.brokenState(s, true).repeatable() {
		return nil
	}
	wait, enough := silentReadAfter(s.slot.serviceTime(), time.Until(s.deadline))
	if !enough {
		return nil
	}
	if err := c.net.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	err := c.awaitByte()
	if isTimeout(err) && s.slot.mayRepeat() {
		return errSilentRead
	}
	if err != nil && !isTimeout(err) {
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
