package routing

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

// exec runs the batch on the stream and passes on its answer whole. After an
// error the conn is unpinned.
func (a *attempt) exec(ctx context.Context, s *stream) (Outcome, *result.Error) {
	c := a.conn
	c.pinned = nil
	s.batch++
	c.setRunning(s)
	defer c.setRunning(nil)
	c.group.begin(s.try)
	defer c.group.end(s.try)

	reply, err := s.exec.Exec(ctx, a.request(s))
	for {
		if err != nil {
			return Outcome{}, a.failed(reply, err)
		}
		if len(reply.Messages) > 0 {
			a.emitted = true
			if err := a.emit(reply.Messages); err != nil {
				c.release(s)
				return Outcome{}, result.New(result.UnknownOutcome, "the caller left before the whole answer: %v", err)
			}
		}
		if !reply.More {
			return a.done(s, reply), nil
		}
		reply, err = s.exec.Next(ctx, s.id)
	}
}

func (a *attempt) request(s *stream) *pool.Request {
	r := a.conn.router
	return &pool.Request{
		Stream:       s.id,
		Batch:        s.batch,
		Customer:     a.conn.customer,
		CostShare:    r.costShare(a.conn.customer),
		Group:        a.conn.group.id,
		Target:       s.try.Target,
		Slot:         s.try.Slot,
		Class:        s.try.Class,
		Session:      a.call.Floor.Session,
		Floor:        a.floor,
		MaxStaleness: a.call.MaxStaleness,
		ServeStale:   s.try.ServeStale,
		TimeLeft:     time.Until(a.call.Deadline),
		Idempotent:   a.repeatable(s.try),
		MayCommit:    a.mayCommit(s.try),
		Messages:     a.call.Messages,
		Statements:   a.call.Statements,
	}
}

// failed learns from a refusal.
func (a *attempt) failed(reply *pool.Reply, err error) *result.Error {
	if reply != nil {
		a.learn(reply.Hint)
	}
	return result.As(err, result.UnknownOutcome)
}

func (a *attempt) done(s *stream, reply *pool.Reply) Outcome {
	c := a.conn
	a.learn(reply.Hint)
	c.group.hear(reply.Position)
	c.router.noteReached(s.try.Host)
	c.pin(s, reply.TxStatus)
	out := Outcome{
		TxStatus: reply.TxStatus,
		Position: reply.Position,
		Target:   s.try.Target,
		Replica:  s.try.Replica,
		Usage:    reply.Usage,
	}
	if a.call.Class == pool.Read {
		out.ReadAt = a.floor
	}
	c.router.stats.count(a.call.Class, out, a.reason)
	return out
}

func (a *attempt) learn(hint pool.Hint) {
	a.conn.group.learn(hint)
	if hint.Primary != "" {
		a.conn.router.cfg.State.Learn(a.conn.group.id, hint.Term, hint.Primary)
	}
}
