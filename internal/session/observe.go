package session

import "time"

// setRunning marks when routing has a batch. It is over before the caller
// gets the end of the answer, so that a late cancel hits nothing else.
func (c *conn) setRunning(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot.Running = running
	c.since = time.Now()
}

// note renews what the state dump shows, after a batch.
func (c *conn) note() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot.Transaction = c.tx.String()
	c.snapshot.FloorKnown = c.floor.source().Known
	c.snapshot.Floor = c.floor.position
	c.snapshot.Session = c.settings.session
	c.snapshot.Batches++
	c.since = time.Now()
}

// introduce fills in what the state dump shows of a session from its start.
func (c *conn) introduce() {
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

func (c *conn) state(now time.Time) SessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snapshot
	s.SinceMs = now.Sub(c.since).Milliseconds()
	return s
}
