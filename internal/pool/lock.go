package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
)

// acquireLock waits for the slot lock. It returns false if the connection
// failed or the lock is no longer wanted.
func (c *controlConn) acquireLock(ctx context.Context, conn *target.Conn) bool {
	began := time.Now()
	for ctx.Err() == nil && c.wantsLock() {
		ok, err := c.tryLock(conn)
		if err != nil {
			c.handleFailure(conn, err, began)
			return false
		}
		if ok {
			c.setLocked(conn)
			return true
		}
		c.setLockRefused()
		if c.hasOwnStaleLock() || c.mayEvictOwner(time.Since(began)) {
			c.log.Info("evicting the silent owner of a slot lock", "target", c.target.ID, "slot", c.slot)
			slotTakeovers.Inc()
			if err := c.evictOwner(conn); err != nil {
				c.handleFailure(conn, err, time.Now())
				return false
			}
			c.mu.Lock()
			c.ownStaleLock = false
			c.mu.Unlock()
			began = time.Now()
			continue
		}
		sleep(ctx, lockRetryInterval)
	}
	return false
}

// hasOwnStaleLock reports whether the lock is probably still held by the
// previous connection of this controlConn, which went silent.
func (c *controlConn) hasOwnStaleLock() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownStaleLock
}

func (c *controlConn) tryLock(conn *target.Conn) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return conn.LockSlot(ctx, c.slot)
}

// evictOwner asks the target to end the connection that owns the slot lock.
func (c *controlConn) evictOwner(conn *target.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return conn.TerminateSlotHolder(ctx, c.slot)
}

func (c *controlConn) setLocked(conn *target.Conn) {
	c.hooks.onLocked()
	c.mu.Lock()
	c.locked = c.conn == conn
	c.lockCount++
	c.ownStaleLock, c.lockRefused = false, false
	c.mu.Unlock()
	c.onReady()
	c.log.Info("slot lock acquired", "target", c.target.ID, "slot", c.slot)
}

// holdsLock reports whether the slot lock is held, as far as this host knows.
func (c *controlConn) holdsLock() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.locked
}

func (c *controlConn) setLockRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lockRefused = true
}

// lockHeldElsewhere reports whether another connection holds the slot lock.
func (c *controlConn) lockHeldElsewhere() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lockRefused && !c.locked
}
