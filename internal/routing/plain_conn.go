package routing

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const releaseTimeout = 2 * time.Second // a holder that doesn't answer closes the connection on its own

// conn implements Conn. Run and Close are called by one goroutine at a time.
//
// A conn is pinned to a stream while a transaction is open. Any error unpins
// it, because the holder has then ended the stream.
type conn struct {
	router   *PlainRouter
	customer topology.CustomerID
	group    *group
	pinned   *stream // accessed only by Run and Close

	mu      sync.Mutex // guards running
	running *stream    // stream to which Cancel applies
}

// stream is the use of one target connection at a holder, by one batch or by
// all batches of a transaction.
type stream struct {
	id    pool.StreamID
	dest  Destination
	exec  pool.Executor
	batch uint32            // number of the latest batch
	floor topology.Position // position that reads on the stream must observe
}

// Run implements Conn.
func (c *conn) Run(ctx context.Context, call *Call, emit func([]byte) error) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	c.router.depositRetryBudget()
	if c.pinned != nil {
		return c.runPinned(ctx, call, emit)
	}
	floor, floorErr := c.router.readFloor(ctx, c.group.id, call)
	if floorErr != nil {
		return Outcome{}, floorErr
	}
	batch := &batchRun{conn: c, call: call, emit: emit, floor: floor, startedAt: time.Now()}
	out, err := batch.run(ctx)
	c.group.observePosition(floor) // so that later reads know a lower bound on its age
	return out, err
}

func (c *conn) runPinned(ctx context.Context, call *Call, emit func([]byte) error) (Outcome, error) {
	batch := &batchRun{conn: c, call: call, emit: emit, floor: c.pinned.floor, startedAt: time.Now()}
	s := c.pinned
	out, err := batch.execute(ctx, s)
	if err == nil {
		return out, nil
	}
	step := NextStep(batch.progress(s.dest, 0, true), err)
	return Outcome{}, step.Err
}

// Cancel implements Conn.
func (c *conn) Cancel(ctx context.Context) error {
	c.mu.Lock()
	s := c.running
	c.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.exec.Cancel(ctx, s.id)
}

// Close implements Conn.
func (c *conn) Close() {
	if c.pinned == nil {
		return
	}
	c.release(c.pinned)
	c.pinned = nil
}

// release asks the holder to roll back and close what the stream left open.
func (c *conn) release(s *stream) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := s.exec.Release(ctx, s.id); err != nil {
		c.router.cfg.Log.V(1).Info("failed to release stream", "holder", s.dest.Host, "error", err.Error())
	}
}

func (c *conn) setRunning(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = s
}

// updatePin pins the connection to the stream while a transaction is open on
// it, and unpins it otherwise.
func (c *conn) updatePin(s *stream, txStatus byte) {
	if txStatus == 'I' || txStatus == 0 {
		c.pinned = nil
		return
	}
	c.pinned = s
}

// contextError returns the error for a request that was not sent because ctx
// ended.
func contextError(ctx context.Context) *result.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return result.New(result.DeadlinePassed, "deadline exceeded before the request was sent")
	}
	return result.New(result.Canceled, "request canceled before it was sent")
}
