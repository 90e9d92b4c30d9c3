package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Status implements target.Control: an answer given after the call began.
func (c *control) Status(ctx context.Context) (target.Status, error) { return c.rounds.ask(ctx) }

// Fence implements target.Control.
func (c *control) Fence(ctx context.Context, term uint64) (target.Status, error) {
	return c.order(ctx, func(ctx context.Context, conn *target.Conn) (target.Status, error) {
		return conn.Fence(ctx, term)
	})
}

// Promote implements target.Control.
func (c *control) Promote(ctx context.Context, term uint64) (target.Status, error) {
	return c.order(ctx, func(ctx context.Context, conn *target.Conn) (target.Status, error) {
		return conn.Promote(ctx, term)
	})
}

// Follow implements target.Control.
func (c *control) Follow(ctx context.Context, term uint64, primary topology.TargetID) (target.Status, error) {
	return c.order(ctx, func(ctx context.Context, conn *target.Conn) (target.Status, error) {
		return conn.Follow(ctx, term, primary)
	})
}

// verify answers with a status that the connection with the slot's lock gave
// after the call began.
func (c *control) verify(ctx context.Context) (target.Status, error) {
	c.mu.Lock()
	locked, locks := c.locked, c.locks
	c.mu.Unlock()
	if !locked {
		return target.Status{}, c.notLocked()
	}
	st, err := c.rounds.ask(ctx)
	if err != nil {
		return target.Status{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.locked || c.locks != locks {
		return target.Status{}, c.notLocked()
	}
	return st, nil
}

// verifyUntil verifies the lock; a lost one may be taken again meanwhile.
func (c *control) verifyUntil(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relockTimeout)
	defer cancel()
	for {
		_, err := c.verify(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		pause(ctx, lockRetry)
	}
}

func (c *control) notLocked() error {
	return result.New(result.NotHolder, "the lock of slot %d of %s isn't held", c.slot, c.target.ID)
}

type orderFunc func(ctx context.Context, conn *target.Conn) (target.Status, error)

// order gives an order in its own time: a caller whose ctx ends earlier leaves
// it running, since an abandoned statement would cost the connection.
func (c *control) order(ctx context.Context, give orderFunc) (target.Status, error) {
	c.mu.Lock()
	conn, failure := c.conn, c.failure
	c.mu.Unlock()
	if conn == nil {
		return target.Status{}, c.noConnection(failure)
	}
	r := &round{done: make(chan struct{})}
	go c.giveOrder(conn, give, r)
	select {
	case <-r.done:
		return r.status, r.err
	case <-ctx.Done():
		return target.Status{}, ctx.Err()
	}
}

func (c *control) giveOrder(conn *target.Conn, give orderFunc, r *round) {
	defer close(r.done)
	ctx, done := context.WithTimeout(context.Background(), orderTimeout)
	defer done()
	sentAt := time.Now()
	r.status, r.err = give(ctx, conn)
	switch {
	case r.err == nil:
		c.hooks.answered(r.status, sentAt)
	case staleTerm(r.err) == nil:
		c.reportRoundTrip(conn, r.err, sentAt)
	}
}

// staleTerm returns the refusal of an order of a lower term, nil for others.
func staleTerm(err error) *target.ErrStaleTerm {
	var stale *target.ErrStaleTerm
	if errors.As(err, &stale) {
		return stale
	}
	return nil
}
