package routing

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const releaseTimeout = 2 * time.Second // a holder that doesn't answer closes the connection by itself

// conn implements Conn. Run and Close are called by one goroutine at a time.
//
// It is unpinned, or pinned to a stream while a transaction is open. Each
// error unpins it: the holder has ended the stream then.
type conn struct {
	router   *PlainRouter
	customer topology.CustomerID
	group    *group
	pinned   *stream // owned by Run

	mu      sync.Mutex // guards running
	running *stream    // that Cancel applies to
}

// stream is the use of one target connection at one holder.
type stream struct {
	id    pool.StreamID
	try   Try
	exec  pool.Executor
	batch uint32            // number of the latest batch
	floor topology.Position // at or past which it reads
}

// Run implements Conn.
func (c *conn) Run(ctx context.Context, call *Call, emit func([]byte) error) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	c.router.earn()
	if c.pinned != nil {
		return c.runPinned(ctx, call, emit)
	}
	floor, failure := c.router.floor(ctx, c.group.id, call)
	if failure != nil {
		return Outcome{}, failure
	}
	a := &attempt{conn: c, call: call, emit: emit, floor: floor, began: time.Now()}
	out, err := a.run(ctx)
	c.group.hear(floor) // by the next read it has existed for some time
	return out, err
}

func (c *conn) runPinned(ctx context.Context, call *Call, emit func([]byte) error) (Outcome, error) {
	a := &attempt{conn: c, call: call, emit: emit, floor: c.pinned.floor, began: time.Now()}
	s := c.pinned
	out, err := a.exec(ctx, s)
	if err == nil {
		return out, nil
	}
	step := After(a.progress(s.try, 0, true), err)
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

// release has the holder roll back and close what the stream left open.
func (c *conn) release(s *stream) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := s.exec.Release(ctx, s.id); err != nil {
		c.router.cfg.Log.V(1).Info("stream not released", "holder", s.try.Host, "error", err.Error())
	}
}

func (c *conn) setRunning(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = s
}

// pin keeps the stream while its transaction is open.
func (c *conn) pin(s *stream, txStatus byte) {
	if txStatus == 'I' || txStatus == 0 {
		c.pinned = nil
		return
	}
	c.pinned = s
}

func canceled(ctx context.Context) *result.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return result.New(result.DeadlinePassed, "the deadline passed before the request was sent")
	}
	return result.New(result.Canceled, "canceled before the request was sent")
}
