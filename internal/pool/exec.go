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
		storedAnswers.Inc()
		return call.wait(ctx)
	}
	s.enter(time.Now())
	defer func() { s.leave(time.Now()) }()
	s.run.Lock()
	defer s.run.Unlock()
	reply, err := m.exec(ctx, s, req)
	m.streams.finish(s, call, reply, err, s.slot == nil, time.Now())
	return reply, err
}

// wait returns the answer of a batch that runs or ran already.
func (c *batchCall) wait(ctx context.Context) (*Reply, error) {
	select {
	case <-c.done:
		return c.reply, c.err
	case <-ctx.Done():
		return &Reply{}, result.New(result.HolderLost, "the batch runs already: %s", ctx.Err())
	}
}

// refusal returns an error beside what is known of the slot's target.
func (m *Manager) refusal(s *slot, req *Request, err error) (*Reply, error) {
	e := result.As(err, result.TargetDown)
	countRefusal(e.Code)
	reply := &Reply{}
	if s != nil {
		reply.Hint = m.hint(s, req.Class)
	}
	return reply, e
}

// exec runs a batch; the stream's slot is nil afterwards if the stream is over.
// Needs s.run.
func (m *Manager) exec(ctx context.Context, s *stream, req *Request) (*Reply, error) {
	s.req = req
	s.deadline = time.Now().Add(req.TimeLeft)
	s.passedOn = false
	if req.Batch > 1 {
		return m.goOn(ctx, s)
	}
	if sl, err := m.start(ctx, s); err != nil {
		return m.refusal(sl, req, err)
	}
	return m.runBatch(ctx, s)
}

// goOn runs a further batch of a transaction.
func (m *Manager) goOn(ctx context.Context, s *stream) (*Reply, error) {
	sl := s.slot
	if sl == nil {
		return m.refusal(nil, s.req, result.New(result.TransactionLost, "the transaction is over at its holder"))
	}
	if err := m.checkCommit(s.req); err != nil {
		m.end(s, false)
		return m.refusal(sl, s.req, result.New(result.TransactionLost, "rolled back before its commit: %s", err))
	}
	return m.runBatch(ctx, s)
}

// start checks the first batch of a stream and gets it a connection.
func (m *Manager) start(ctx context.Context, s *stream) (*slot, error) {
	req := s.req
	if req.TimeLeft <= 0 {
		return nil, result.New(result.DeadlinePassed, "no time was left at the holder")
	}
	sl, err := m.slot(req.Target, req.Slot)
	if err != nil {
		return nil, err
	}
	if err := m.admissible(ctx, sl, req); err != nil {
		return sl, err
	}
	return sl, m.connect(ctx, s, sl, false)
}

// connect waits for a connection and checks the batch on it. checked: one that has just answered.
func (m *Manager) connect(ctx context.Context, s *stream, sl *slot, checked bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	a := arrival{
		customer: s.req.Customer,
		weight:   s.req.CostShare,
		timeLeft: time.Until(s.deadline),
		size:     len(s.req.Messages),
	}
	c, err := sl.acquire(ctx, a, checked)
	if err != nil {
		return err
	}
	if !s.attach(sl, c, s.req.Class) {
		sl.release(c, true)
		return result.New(result.Canceled, "released while waiting for a connection")
	}
	s.slot = sl
	s.granted = time.Now()
	if err := m.admissibleOn(ctx, c, sl, s.req); err != nil {
		m.end(s, true)
		return err
	}
	return nil
}

// runBatch sends the stream's batch and returns the first chunk of its answer.
func (m *Manager) runBatch(ctx context.Context, s *stream) (*Reply, error) {
	c := s.connection()
	if c == nil {
		return m.fail(s, result.New(result.Canceled, "released"), false)
	}
	p, err := makePlan(s.req.Messages, s.req.Statements, c.statements)
	if err != nil {
		sl := s.slot
		m.end(s, !s.open)
		return m.refusal(sl, s.req, err)
	}
	s.answer = newAnswer(p, c.statements)
	s.bytes = uint64(len(s.req.Messages))
	s.sentAt = time.Now()
	s.before = s.slot.observed().status
	defer context.AfterFunc(ctx, c.abandon)()
	sent, err := c.send(p.wire, s.deadline)
	if err != nil {
		return m.fail(s, err, sent)
	}
	err = m.firstByte(s, c)
	switch {
	case err == nil:
		return m.collect(ctx, s, c)
	case errors.Is(err, errSilentRead):
		return m.repeatRead(ctx, s, c)
	default:
		return m.fail(s, err, true)
	}
}

// Next implements Executor.
func (m *Manager) Next(ctx context.Context, id StreamID) (*Reply, error) {
	s := m.streams.get(id)
	if s == nil {
		return m.refusal(nil, nil, result.New(result.UnknownOutcome, "the holder doesn't know the answer any more"))
	}
	s.enter(time.Now())
	defer func() { s.leave(time.Now()) }()
	s.run.Lock()
	defer s.run.Unlock()
	c := s.connection()
	if s.answer == nil || c == nil {
		return m.refusal(s.slot, s.req, result.New(result.UnknownOutcome, "no further chunk of the answer"))
	}
	s.deadline = later(s.deadline, time.Now().Add(nextTimeout))
	if err := c.net.SetDeadline(s.deadline); err != nil {
		return m.failNext(s, err)
	}
	defer context.AfterFunc(ctx, c.abandon)()
	reply, err := m.collect(ctx, s, c)
	if s.slot == nil {
		m.streams.remove(s, time.Now())
	}
	return reply, err
}

const nextTimeout = 5 * time.Second // for a chunk that is asked for after the request's own deadline

func (m *Manager) failNext(s *stream, err error) (*Reply, error) {
	reply, err := m.fail(s, err, true)
	m.streams.remove(s, time.Now())
	return reply, err
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// collect reads a chunk of the answer and completes the batch with the last one.
func (m *Manager) collect(ctx context.Context, s *stream, c *conn) (*Reply, error) {
	if err := c.receive(s.answer); err != nil {
		return m.fail(s, err, true)
	}
	if s.answer.done {
		return m.complete(ctx, s)
	}
	reply := &Reply{Messages: s.answer.chunk(), More: true}
	s.bytes += uint64(len(reply.Messages))
	s.passedOn = true
	return reply, nil
}

// hint returns what is known of the slot's target. Only reads ask for its age:
// that keeps the group's ages known.
func (m *Manager) hint(s *slot, class Class) Hint {
	seen := s.observed().status
	hint := Hint{Term: seen.Term, Primary: seen.Primary, Status: seen}
	if m.opts.Freshness != nil && class == Read {
		hint.Age, _ = m.opts.Freshness.Age(s.group, seen.Applied)
	}
	if seen.Role == target.Primary {
		hint.Age = 0
	}
	return hint
}
