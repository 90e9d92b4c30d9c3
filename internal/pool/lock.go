package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
)

// lock waits for the slot's lock; false when the connection failed.
func (c *control) lock(ctx context.Context, conn *target.Conn) bool {
	began := time.Now()
	for ctx.Err() == nil && c.wanted() {
		ok, err := c.tryLock(conn)
		if err != nil {
			c.reportRoundTrip(conn, err, began)
			return false
		}
		if ok {
			c.setLocked(conn)
			return true
		}
		c.setRefused()
		if c.ownLock() || c.mayEnd(time.Since(began)) {
			c.log.Info("ending the silent predecessor of a slot", "target", c.target.ID, "slot", c.slot)
			takeovers.Inc()
			if err := c.endSlot(conn); err != nil {
				c.reportRoundTrip(conn, err, time.Now())
				return false
			}
			c.mu.Lock()
			c.forgot = false
			c.mu.Unlock()
			began = time.Now()
			continue
		}
		pause(ctx, lockRetry)
	}
	return false
}

// ownLock tells whether the lock's owner is probably this control's own last
// connection, which went silent.
func (c *control) ownLock() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forgot
}

func (c *control) tryLock(conn *target.Conn) (bool, error) {
	ctx, done := context.WithTimeout(context.Background(), statusTimeout)
	defer done()
	return conn.LockSlot(ctx, c.slot)
}

func (c *control) endSlot(conn *target.Conn) error {
	ctx, done := context.WithTimeout(context.Background(), orderTimeout)
	defer done()
	return conn.EndSlot(ctx, c.slot)
}

func (c *control) setLocked(conn *target.Conn) {
	c.hooks.locked()
	c.mu.Lock()
	c.locked = c.conn == conn
	c.locks++
	c.forgot, c.refused = false, false
	c.mu.Unlock()
	c.ready()
	c.log.Info("slot held", "target", c.target.ID, "slot", c.slot)
}

// holds tells whether the slot's lock is held, as far as is known here.
func (c *control) holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.locked
}

func (c *control) setRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
}

// refusedLock tells whether another connection has the slot's lock.
func (c *control) refusedLock() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused && !c.locked
}
