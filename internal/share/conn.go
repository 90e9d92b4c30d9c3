package share

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/statement"
)

// Conn is an open connection to a target, with what is known of its state
// there. One request or transaction holds it at a time.
type Conn struct {
	statement.Conn
	// Owner is the session whose values and names the target has, 0: none.
	Owner uint64
	// Prepared are the texts that were prepared for Owner, by name.
	Prepared map[string]string
	// Values counts the session values set for Owner.
	Values int

	lastUsed time.Time
	held     time.Time // since when it is in use
}

// IdleFor returns how long nobody used the connection before it was acquired.
func (c *Conn) IdleFor() time.Duration { return c.held.Sub(c.lastUsed) }

// Forget notes that the target has no session state on the connection.
func (c *Conn) Forget() {
	c.Owner, c.Values = 0, 0
	clear(c.Prepared)
}
