package share

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/statement"
)

// Conn is an open connection to a target, with the session state that the
// target keeps for it. At most one request or transaction uses it at a time.
type Conn struct {
	statement.Conn
	// Owner is the session whose settings and prepared statements the target
	// keeps on this connection, 0 for none.
	Owner uint64
	// Prepared maps the names of Owner's prepared statements to their SQL
	// texts.
	Prepared map[string]string
	// Values is the sequence number of the latest session setting that was
	// applied for Owner.
	Values int

	lastUsed   time.Time
	acquiredAt time.Time // when it was last taken from the pool
}

// IdleFor returns how long the connection had been idle when it was acquired.
func (c *Conn) IdleFor() time.Duration { return c.acquiredAt.Sub(c.lastUsed) }

// Forget records that the target keeps no session state for this connection.
func (c *Conn) Forget() {
	c.Owner, c.Values = 0, 0
	clear(c.Prepared)
}
