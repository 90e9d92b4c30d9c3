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

// complete ends a batch whose answer was read whole. The connection goes back
// before the commit is confirmed, so that the wait costs none.
func (m *Manager) complete(ctx context.Context, s *stream) (*Reply, error) {
	a, sl, req := s.answer, s.slot, s.req
	targetSeconds.UpdateDuration(s.sentAt)
	if err := m.refusedByTarget(ctx, s); err != nil {
		m.end(s, true)
		return m.refusal(sl, req, err)
	}
	sl.beginCommit()
	defer sl.endCommit()
	reply := m.lastChunk(s)
	if m.opts.OnUsage != nil {
		reply.Meter = m.opts.OnUsage(req.Customer, req.Group, reply.Usage)
	}
	s.unclean = s.unclean || a.unclean
	s.answer = nil
	s.open = a.txStatus != txIdle
	if !s.open {
		m.end(s, !s.unclean)
	}
	if err := m.vouch(ctx, s, sl, a.position); err != nil {
		m.end(s, false)
		return m.refusal(sl, req, err)
	}
	reply.Hint = m.hint(sl, req.Class)
	return reply, nil
}

// vouch waits until the answer may be given: a commit is confirmed, and what
// was read as a write was read at a primary that isn't replaced.
func (m *Manager) vouch(ctx context.Context, s *stream, sl *slot, position topology.Position) error {
	if !position.IsZero() {
		sl.committed(position)
		return m.confirm(ctx, s, sl, position)
	}
	if s.req.needsCurrentPrimary() {
		return m.confirmPrimary(ctx, s)
	}
	return nil
}

// needsCurrentPrimary tells whether a batch that wrote nothing may have read
// what its session must not see: it ran as a write, so that no floor was asked
// for, and its caller's connection doesn't know all of the session's writes.
func (r *Request) needsCurrentPrimary() bool {
	return r.Class == Write && r.Batch == 1 && (r.Session != "" || r.Floor.IsZero())
}

// confirmPrimary refuses what was read at a primary whose term is over. Nothing
// took effect, so that it may run again elsewhere.
func (m *Manager) confirmPrimary(ctx context.Context, s *stream) error {
	if m.opts.Confirm == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	if err := m.opts.Confirm.Confirm(ctx, s.req.Group, topology.Position{Term: s.before.Term}); err != nil {
		return result.New(result.NotPrimary, "read at a primary that may be replaced: %s", detail(err))
	}
	return nil
}

func (m *Manager) lastChunk(s *stream) *Reply {
	a := s.answer
	reply := &Reply{Messages: a.chunk(), TxStatus: a.txStatus, Position: a.position}
	s.bytes += uint64(len(reply.Messages))
	reply.Usage = Usage{
		Statements: a.commands,
		Rows:       a.rows,
		Bytes:      s.bytes,
		TargetTime: time.Since(s.sentAt),
	}
	return reply
}

// refusedByTarget returns the true "not run" of a target that takes no writes.
func (m *Manager) refusedByTarget(ctx context.Context, s *stream) error {
	a := s.answer
	if s.open || s.passedOn || a.txStatus != txIdle || !a.refused(target.StateNotPrimary) {
		return nil
	}
	st, err := s.slot.control.Status(ctx)
	if err == nil && samePrimary(s.before, st) {
		return nil // the caller's own read-only setting
	}
	if s.req.Class == Read {
		return result.New(result.ReadOnlyTarget, "%s takes no writes", s.slot.id)
	}
	return result.New(result.NotPrimary, "%s takes no writes", s.slot.id)
}

// samePrimary tells whether a target was the primary all along between two
// statuses: one that is fenced and promoted again has another term.
func samePrimary(before, after target.Status) bool {
	return before.Role == target.Primary && after.Role == target.Primary && before.Term == after.Term
}

// confirm waits until the commit can't be lost. For a request with a session
// the slot's lock must have been held after the commit, so that no successor
// has answered for the session without it.
func (m *Manager) confirm(ctx context.Context, s *stream, sl *slot, position topology.Position) error {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	var g errgroup.Group
	if m.opts.Confirm != nil {
		g.Go(func() error { return m.opts.Confirm.Confirm(ctx, s.req.Group, position) })
	}
	keeps := s.req.Session != "" && m.opts.OnCommit != nil
	if keeps {
		g.Go(func() error { return sl.control.verifyUntil(ctx) })
	}
	if err := g.Wait(); err != nil {
		return result.New(result.UnconfirmedCommit, "commit at %s: %s", position, detail(err))
	}
	if keeps {
		m.opts.OnCommit(sl.id, sl.number, s.req.Session, position)
	}
	return nil
}

// detail returns an error's text without its code.
func detail(err error) string {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// fail ends a stream whose connection can't be used any more.
func (m *Manager) fail(s *stream, err error, sent bool) (*Reply, error) {
	sl := s.slot
	if c := s.connection(); c != nil && sent && isTimeout(err) {
		go c.cancelQuietly()
	}
	b := m.brokenState(s, sent)
	m.end(s, false)
	if errors.Is(err, errCopy) {
		return m.refusal(sl, s.req, result.New(result.UnsupportedFeature, "%s", err))
	}
	return m.refusal(sl, s.req, result.New(b.code(), "%s: %s", sl.id, err))
}

func (m *Manager) brokenState(s *stream, sent bool) broken {
	return broken{
		class:         s.req.Class,
		mayCommit:     s.req.MayCommit && !s.req.Idempotent,
		replica:       s.slot.observed().status.Role == target.Replica,
		inTransaction: s.open,
		sent:          sent,
		passedOn:      s.passedOn,
	}
}

// end gives the stream's connection back; the stream is over. Needs s.run.
func (m *Manager) end(s *stream, reusable bool) {
	sl := s.slot
	if sl == nil {
		return
	}
	if c := s.detach(); c != nil {
		sl.observe(s.req.Customer, time.Since(s.granted))
		sl.release(c, reusable)
	}
	s.slot = nil
	s.answer = nil
}
