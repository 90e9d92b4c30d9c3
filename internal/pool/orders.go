package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Status implements target.Control. It returns a status that the target
// reported after the call began.
func (c *controlConn) Status(ctx context.Context) (target.Status, error) { return c.statuses.get(ctx) }

// Fence implements target.Control.
func (c *controlConn) Fence(ctx context.Context, term uint64) (target.Status, error) {
	return c.runCommand(ctx, func(ctx context.Context, conn *target.Conn) (target.Status, error) {
		return conn.Fence(ctx, term)
	})
}

// Promote implements target.Control.
func (c *controlConn) Promote(ctx context.Context, term uint64) (target.Status, error) {
	return c.runCommand(ctx, func(ctx context.Context, conn *target.Conn) (target.Status, error) {
		return conn.Promote(ctx, term)
	})
}

// Follow implements target.Control.
func (c *controlConn) Follow(ctx context.Context, term uint64, primary topology.TargetID) (target.Status, error) {
	return c.runCommand(ctx, func(ctx context.Context, conn *target.Conn) (target.Status, error) {
		return conn.Follow(ctx, term, primary)
	})
}

// verifyLock returns a status that the target reported after the call began, on
// the connection that holds the slot lock. It returns an error if the lock was
// not held throughout.
func (c *controlConn) verifyLock(ctx context.Context) (target.Status, error) {
	c.mu.Lock()
	locked, lockCount := c.locked, c.lockCount
	c.mu.Unlock()
	if !locked {
		return target.Status{}, c.notLockedError()
	}
	st, err := c.statuses.get(ctx)
	if err != nil {
		return target.Status{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.locked || c.lockCount != lockCount {
		return target.Status{}, c.notLockedError()
	}
	return st, nil
}

// awaitVerifiedLock waits until the slot lock is verified. A lost lock may be
// reacquired while it waits.
func (c *controlConn) awaitVerifiedLock(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relockTimeout)
	defer cancel()
	for {
		_, err := c.verifyLock(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, lockRetryInterval)
	}
}

func (c *controlConn) notLockedError() error {
	return result.New(result.NotHolder, "the lock of slot %d of %s is not held", c.slot, c.target.ID)
}

// connCommand sends one control command on a connection.
type connCommand func(ctx context.Context, conn *target.Conn) (target.Status, error)

// runCommand runs a control command with a timeout of its own. If the caller's
// ctx ends earlier, the command keeps running, because abandoning a statement
// would cost the connection.
func (c *controlConn) runCommand(ctx context.Context, command connCommand) (target.Status, error) {
	c.mu.Lock()
	conn, failure := c.conn, c.failure
	c.mu.Unlock()
	if conn == nil {
		return target.Status{}, c.notConnectedError(failure)
	}
	call := &controlCall{done: make(chan struct{})}
	go c.executeCommand(conn, command, call)
	select {
	case <-call.done:
		return call.status, call.err
	case <-ctx.Done():
		return target.Status{}, ctx.Err()
	}
}

// executeCommand runs the command, publishes its result in call and reports it
// to the hooks.
func (c *controlConn) executeCommand(conn *target.Conn, command connCommand, call *controlCall) {
	defer close(call.done)
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	sentAt := time.Now()
	call.status, call.err = command(ctx, conn)
	switch {
	case call.err == nil:
		c.hooks.onStatus(call.status, sentAt)
	case staleTerm(call.err) == nil:
		c.handleFailure(conn, call.err, sentAt)
	}
}

// staleTerm returns the target's refusal of a command with too low a term, or
// nil if err is another error.
func staleTerm(err error) *target.ErrStaleTerm {
	var stale *target.ErrStaleTerm
	if errors.As(err, &stale) {
		return stale
	}
	return nil
}
