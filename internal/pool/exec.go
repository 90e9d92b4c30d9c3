package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
)

// Exec implements Executor.
func (m *Manager) Exec(ctx context.Context, req *Request) (*Reply, error) {
	s, call, err := m.streams.begin(req.Stream, req.Batch, time.Now())
	if err != nil {
		return m.refusal(nil, req, err)
	}
	if s == nil {
		storedResponses.Inc()
		return call.wait(ctx)
	}
	s.beginCall(time.Now())
	defer func() { s.endCall(time.Now()) }()
	s.runMu.Lock()
	defer s.runMu.Unlock()
	reply, err := m.exec(ctx, s, req)
	m.streams.finish(s, call, reply, err, s.slot == nil, time.Now())
	return reply, err
}

// wait returns the reply of a batch that is running or has finished.
func (c *batchCall) wait(ctx context.Context) (*Reply, error) {
	select {
	case <-c.done:
		return c.reply, c.err
	case <-ctx.Done():
		return &Reply{}, result.New(result.HolderLost, "the batch is already running: %s", ctx.Err())
	}
}

// refusal returns err together with what is known about the slot's target.
func (m *Manager) refusal(s *slot, req *Request, err error) (*Reply, error) {
	e := result.As(err, result.TargetDown)
	countRefusal(e.Code)
	reply := &Reply{}
	if s != nil {
		reply.Hint = m.hint(s, req.Class)
	}
	return reply, e
}

// exec runs a batch. Afterwards the stream's slot is nil if the stream has
// ended. The caller must hold s.runMu.
func (m *Manager) exec(ctx context.Context, s *stream, req *Request) (*Reply, error) {
	s.req = req
	s.deadline = time.Now().Add(req.TimeLeft)
	s.partlyDelivered = false
	if req.Batch > 1 {
		return m.continueStream(ctx, s)
	}
	if sl, err := m.startStream(ctx, s); err != nil {
		return m.refusal(sl, req, err)
	}
	return m.runBatch(ctx, s)
}

// continueStream runs a further batch of a transaction.
func (m *Manager) continueStream(ctx context.Context, s *stream) (*Reply, error) {
	sl := s.slot
	if sl == nil {
		return m.refusal(nil, s.req, result.New(result.TransactionLost, "the transaction has already ended at its holder"))
	}
	if err := m.checkCommit(s.req); err != nil {
		m.endStream(s, false)
		return m.refusal(sl, s.req, result.New(result.TransactionLost, "rolled back before commit: %s", err))
	}
	return m.runBatch(ctx, s)
}

// startStream checks the first batch of a stream and gets a connection for it.
func (m *Manager) startStream(ctx context.Context, s *stream) (*slot, error) {
	req := s.req
	if req.TimeLeft <= 0 {
		return nil, result.New(result.DeadlinePassed, "the deadline had passed when the request reached its holder")
	}
	sl, err := m.slot(req.Target, req.Slot)
	if err != nil {
		return nil, err
	}
	if err := m.checkAdmissible(ctx, sl, req); err != nil {
		return sl, err
	}
	return sl, m.connectStream(ctx, s, sl, false)
}

// connectStream waits for a connection and then checks the batch again. If
// mustProbe is set, the connection has just answered a probe.
func (m *Manager) connectStream(ctx context.Context, s *stream, sl *slot, mustProbe bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	a := arrival{
		customer: s.req.Customer,
		weight:   s.req.CostShare,
		timeLeft: time.Until(s.deadline),
		size:     len(s.req.Messages),
	}
	c, err := sl.acquire(ctx, a, mustProbe)
	if err != nil {
		return err
	}
	if !s.attach(sl, c, s.req.Class) {
		sl.release(c, true)
		return result.New(result.Canceled, "stream released while waiting for a connection")
	}
	s.slot = sl
	s.grantedAt = time.Now()
	if err := m.checkAdmissibleOn(ctx, c, sl, s.req); err != nil {
		m.endStream(s, true)
		return err
	}
	return nil
}

// runBatch sends the stream's batch and returns the first chunk of its
// response.
func (m *Manager) runBatch(ctx context.Context, s *stream) (*Reply, error) {
	c := s.connection()
	if c == nil {
		return m.failStream(s, result.New(result.Canceled, "stream released"), false)
	}
	p, err := makePlan(s.req.Messages, s.req.Statements, c.statements)
	if err != nil {
		sl := s.slot
		m.endStream(s, !s.openTransaction)
		return m.refusal(sl, s.req, err)
	}
	s.response = newResponse(p, c.statements)
	s.bytes = uint64(len(s.req.Messages))
	s.sentAt = time.Now()
	s.statusBefore = s.slot.latestStatus().status
	defer context.AfterFunc(ctx, c.abort)()
	sent, err := c.send(p.wire, s.deadline)
	if err != nil {
		return m.failStream(s, err, sent)
	}
	err = m.awaitFirstByte(s, c)
	switch {
	case err == nil:
		return m.readChunk(ctx, s, c)
	case errors.Is(err, errSilentRead):
		return m.retryRead(ctx, s, c)
	default:
		return m.failStream(s, err, true)
	}
}

// Next implements Executor.
func (m *Manager) Next(ctx context.Context, id StreamID) (*Reply, error) {
	s := m.streams.get(id)
	if s == nil {
		return m.refusal(nil, nil, result.New(result.UnknownOutcome, "the holder no longer has the response"))
	}
	s.beginCall(time.Now())
	defer func() { s.endCall(time.Now()) }()
	s.runMu.Lock()
	defer s.runMu.Unlock()
	c := s.connection()
	if s.response == nil || c == nil {
		return m.refusal(s.slot, s.req, result.New(result.UnknownOutcome, "the response has no further chunk"))
	}
	s.deadline = laterOf(s.deadline, time.Now().Add(nextTimeout))
	if err := c.net.SetDeadline(s.deadline); err != nil {
		return m.failNext(s, err)
	}
	defer context.AfterFunc(ctx, c.abort)()
	reply, err := m.readChunk(ctx, s, c)
	if s.slot == nil {
		m.streams.remove(s, time.Now())
	}
	return reply, err
}

const nextTimeout = 5 * time.Second // for a chunk requested after the request's own deadline

func (m *Manager) failNext(s *stream, err error) (*Reply, error) {
	reply, err := m.failStream(s, err, true)
	m.streams.remove(s, time.Now())
	return reply, err
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readChunk reads a chunk of the response. After the last chunk it completes
// the batch.
func (m *Manager) readChunk(ctx context.Context, s *stream, c *conn) (*Reply, error) {
	if err := c.receive(s.response); err != nil {
		return m.failStream(s, err, true)
	}
	if s.response.done {
		return m.completeBatch(ctx, s)
	}
	reply := &Reply{Messages: s.response.takeChunk(), More: true}
	s.bytes += uint64(len(reply.Messages))
	s.partlyDelivered = true
	return reply, nil
}

// hint returns what is known about the slot's target. It queries the staleness
// of the data only for reads: these queries keep the group's staleness tracking
// active.
func (m *Manager) hint(s *slot, class Class) Hint {
	seen := s.latestStatus().status
	hint := Hint{Term: seen.Term, Primary: seen.Primary, Status: seen}
	if m.opts.Freshness != nil && class == Read {
		hint.Age, _ = m.opts.Freshness.Age(s.group, seen.Applied)
	}
	if seen.Role == target.Primary {
		hint.Age = 0
	}
	return hint
}
