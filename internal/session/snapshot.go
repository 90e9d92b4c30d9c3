package session

import "time"

// setRunning records whether routing runs a batch. It is reset before the client
// receives the end of the response, so that a late cancel request can't cancel
// the next batch.
func (c *conn) setRunning(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot.Running = running
	c.stateSince = time.Now()
}

// updateSnapshot updates the state dump's view of the session after a batch.
func (c *conn) updateSnapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot.Transaction = c.tx.String()
	c.snapshot.FloorKnown = c.floor.source().Known
	c.snapshot.Floor = c.floor.position
	c.snapshot.Session = c.settings.session
	c.snapshot.Batches++
	c.stateSince = time.Now()
}

// initSnapshot initializes the state dump's view of an accepted session.
func (c *conn) initSnapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = SessionState{
		Remote:      c.net.RemoteAddr().String(),
		User:        c.user.Name,
		Customer:    c.scope.customer,
		Group:       c.scope.group,
		Transaction: txIdle.String(),
	}
}

// state returns the state dump's view of the session.
func (c *conn) state(now time.Time) SessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.snapshot
	state.SinceMs = now.Sub(c.stateSince).Milliseconds()
	return state
}
