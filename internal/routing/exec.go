package routing

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

// execute runs the batch on the stream and passes the complete response to the
// caller. After an error the connection is unpinned.
func (b *batchRun) execute(ctx context.Context, s *stream) (Outcome, *result.Error) {
	c := b.conn
	c.pinned = nil
	s.batch++
	c.setRunning(s)
	defer c.setRunning(nil)
	c.group.startRequest(s.dest)
	defer c.group.endRequest(s.dest)

	reply, err := s.exec.Exec(ctx, b.request(s))
	for {
		if err != nil {
			return Outcome{}, b.handleError(reply, err)
		}
		if len(reply.Messages) > 0 {
			b.emitted = true
			if err := b.emit(reply.Messages); err != nil {
				c.release(s)
				return Outcome{}, result.New(result.UnknownOutcome, "the caller disconnected before it received the complete response: %v", err)
			}
		}
		if !reply.More {
			return b.complete(s, reply), nil
		}
		reply, err = s.exec.Next(ctx, s.id)
	}
}

func (b *batchRun) request(s *stream) *pool.Request {
	r := b.conn.router
	return &pool.Request{
		Stream:       s.id,
		Batch:        s.batch,
		Customer:     b.conn.customer,
		CostShare:    r.costShare(b.conn.customer),
		Group:        b.conn.group.id,
		Target:       s.dest.Target,
		Slot:         s.dest.Slot,
		Class:        s.dest.Class,
		Session:      b.call.Floor.Session,
		Floor:        b.floor,
		MaxStaleness: b.call.MaxStaleness,
		ServeStale:   s.dest.ServeStale,
		TimeLeft:     time.Until(b.call.Deadline),
		Idempotent:   b.repeatable(s.dest),
		MayCommit:    b.mayCommit(s.dest),
		Messages:     b.call.Messages,
		Statements:   b.call.Statements,
	}
}

// handleError applies the hint that came with a failed request and returns err
// as a result.Error.
func (b *batchRun) handleError(reply *pool.Reply, err error) *result.Error {
	if reply != nil {
		b.observeHint(reply.Hint)
	}
	return result.As(err, result.UnknownOutcome)
}

// complete records a complete response and returns the outcome of the batch.
func (b *batchRun) complete(s *stream, reply *pool.Reply) Outcome {
	c := b.conn
	b.observeHint(reply.Hint)
	c.group.observePosition(reply.Position)
	c.router.recordReachable(s.dest.Host)
	c.updatePin(s, reply.TxStatus)
	out := Outcome{
		TxStatus: reply.TxStatus,
		Position: reply.Position,
		Target:   s.dest.Target,
		Replica:  s.dest.Replica,
		Usage:    reply.Usage,
	}
	if b.call.Class == pool.Read {
		out.ReadAt = b.floor
	}
	c.router.stats.countBatch(b.call.Class, out, b.primaryReason)
	return out
}

// observeHint records the group state that came with a response.
func (b *batchRun) observeHint(hint pool.Hint) {
	b.conn.group.observeHint(hint)
	if hint.Primary != "" {
		b.conn.router.cfg.State.LearnPrimary(b.conn.group.id, hint.Term, hint.Primary)
	}
}
