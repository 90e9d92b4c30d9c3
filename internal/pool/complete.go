package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// completeBatch finishes a batch whose response has been read completely. It
// releases the connection before it waits for the commit's confirmation, so
// that the wait doesn't occupy a connection.
func (m *Manager) completeBatch(ctx context.Context, s *stream) (*Reply, error) {
	resp, sl, req := s.response, s.slot, s.req
	targetSeconds.UpdateDuration(s.sentAt)
	if err := m.checkRefusedByTarget(ctx, s); err != nil {
		m.endStream(s, true)
		return m.refusal(sl, req, err)
	}
	sl.beginCommit()
	defer sl.endCommit()
	reply := m.lastChunk(s)
	if m.opts.OnUsage != nil {
		reply.Meter = m.opts.OnUsage(req.Customer, req.Group, reply.Usage)
	}
	s.dirty = s.dirty || resp.dirty
	s.response = nil
	s.openTransaction = resp.txStatus != txIdle
	if !s.openTransaction {
		m.endStream(s, !s.dirty)
	}
	if err := m.confirmResult(ctx, s, sl, resp.position); err != nil {
		m.endStream(s, false)
		return m.refusal(sl, req, err)
	}
	reply.Hint = m.hint(sl, req.Class)
	return reply, nil
}

// confirmResult waits until the response may be returned: a commit must be
// confirmed, and data read in the Write class must come from a primary that has
// not been replaced.
func (m *Manager) confirmResult(ctx context.Context, s *stream, sl *slot, position topology.Position) error {
	if !position.IsZero() {
		sl.recordCommit(position)
		return m.confirmCommit(ctx, s, sl, position)
	}
	if s.req.needsCurrentPrimary() {
		return m.confirmPrimary(ctx, s)
	}
	return nil
}

// needsCurrentPrimary reports whether a batch that wrote nothing may have read
// data older than its session's writes. This is possible if the batch ran in
// the Write class, for which no floor is looked up, and the caller's connection
// doesn't know all writes of its session.
func (r *Request) needsCurrentPrimary() bool {
	return r.Class == Write && r.Batch == 1 && (r.Session != "" || r.Floor.IsZero())
}

// confirmPrimary refuses data that was read at a primary whose term has ended.
// The batch changed nothing, so it may run again elsewhere.
func (m *Manager) confirmPrimary(ctx context.Context, s *stream) error {
	if m.opts.Confirm == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	if err := m.opts.Confirm.Confirm(ctx, s.req.Group, topology.Position{Term: s.statusBefore.Term}); err != nil {
		return result.New(result.NotPrimary, "read at a primary that may have been replaced: %s", errorDetail(err))
	}
	return nil
}

// lastChunk returns the last chunk of the response, with the batch's usage.
func (m *Manager) lastChunk(s *stream) *Reply {
	resp := s.response
	reply := &Reply{Messages: resp.takeChunk(), TxStatus: resp.txStatus, Position: resp.position}
	s.bytes += uint64(len(reply.Messages))
	reply.Usage = Usage{
		Statements: resp.completed,
		Rows:       resp.rows,
		Bytes:      s.bytes,
		TargetTime: time.Since(s.sentAt),
	}
	return reply
}

// checkRefusedByTarget returns a "not run" error if the target refused the
// batch because it does not accept writes.
func (m *Manager) checkRefusedByTarget(ctx context.Context, s *stream) error {
	resp := s.response
	if s.openTransaction || s.partlyDelivered || resp.txStatus != txIdle || !resp.refusedWith(target.StateNotPrimary) {
		return nil
	}
	st, err := s.slot.control.Status(ctx)
	if err == nil && samePrimary(s.statusBefore, st) {
		return nil // the caller itself set its session read-only
	}
	if s.req.Class == Read {
		return result.New(result.ReadOnlyTarget, "%s does not accept writes", s.slot.id)
	}
	return result.New(result.NotPrimary, "%s does not accept writes", s.slot.id)
}

// samePrimary reports whether a target remained the primary between two
// statuses. A target that was fenced and promoted again has a higher term.
func samePrimary(before, after target.Status) bool {
	return before.Role == target.Primary && after.Role == target.Primary && before.Term == after.Term
}

// confirmCommit waits until the commit can't be lost. For a request with a
// session it also verifies that the slot lock was held after the commit, so
// that no successor has answered for the session without knowing the commit.
func (m *Manager) confirmCommit(ctx context.Context, s *stream, sl *slot, position topology.Position) error {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	var g errgroup.Group
	if m.opts.Confirm != nil {
		g.Go(func() error { return m.opts.Confirm.Confirm(ctx, s.req.Group, position) })
	}
	recordsSession := s.req.Session != "" && m.opts.OnCommit != nil
	if recordsSession {
		g.Go(func() error { return sl.control.awaitVerifiedLock(ctx) })
	}
	if err := g.Wait(); err != nil {
		return result.New(result.UnconfirmedCommit, "commit at %s is not confirmed: %s", position, errorDetail(err))
	}
	if recordsSession {
		m.opts.OnCommit(sl.id, sl.number, s.req.Session, position)
	}
	return nil
}

// errorDetail returns the text of an error without its result code.
func errorDetail(err error) string {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// failStream ends a stream whose connection can't be used any more.
func (m *Manager) failStream(s *stream, err error, sent bool) (*Reply, error) {
	sl := s.slot
	if c := s.connection(); c != nil && sent && isTimeout(err) {
		go c.cancelBestEffort()
	}
	b := m.describeInterruption(s, sent)
	m.endStream(s, false)
	if errors.Is(err, errCopy) {
		return m.refusal(sl, s.req, result.New(result.UnsupportedFeature, "%s", err))
	}
	return m.refusal(sl, s.req, result.New(b.code(), "%s: %s", sl.id, err))
}

// describeInterruption describes the stream's current batch in case its connection
// fails now.
func (m *Manager) describeInterruption(s *stream, sent bool) interruptedBatch {
	return interruptedBatch{
		class:           s.req.Class,
		mayCommit:       s.req.MayCommit && !s.req.Idempotent,
		replica:         s.slot.latestStatus().status.Role == target.Replica,
		inTransaction:   s.openTransaction,
		sent:            sent,
		partlyDelivered: s.partlyDelivered,
	}
}

// endStream ends the stream and releases its connection. The caller must hold
// s.runMu.
func (m *Manager) endStream(s *stream, reusable bool) {
	sl := s.slot
	if sl == nil {
		return
	}
	if c := s.detach(); c != nil {
		sl.recordServiceTime(s.req.Customer, time.Since(s.grantedAt))
		sl.release(c, reusable)
	}
	s.slot = nil
	s.response = nil
}
