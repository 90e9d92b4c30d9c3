package share

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Conn is an open connection to a target, with the session state that the
// target keeps for it. At most one request or transaction uses it at a time.
type Conn struct {
	statement.Conn
	// Customer is the customer whose statements the connection runs, "" where there
	// are no customers. The target was told it when the connection was opened.
	Customer topology.CustomerID
	// SessionID is the session whose settings and prepared statements the target
	// keeps on this connection, 0 for none.
	SessionID uint64
	// Prepared maps the names of the session's prepared statements to their SQL
	// texts.
	Prepared map[string]string
	// SettingSequence is the sequence number of the latest session setting that was
	// applied for the session.
	SettingSequence int

	lastUsed   time.Time
	acquiredAt time.Time // when it was last taken from the pool
	servedAt   time.Time // when a request, rather than a probe, last returned it; zero: not yet
	probing    bool      // taken by a probe

	// The fields below are guarded by the pool's lock.
	pool     *Pool
	active   bool // a statement is in flight or about to be sent
	inTx     bool // a transaction is open
	usedInTx bool // a transaction was open since the connection was taken
}

// Exchange implements statement.Conn. The pool learns of the answers.
func (c *Conn) Exchange(deadline time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	if c.pool == nil || !c.pool.beginExchange(c) {
		return c.Conn.Exchange(deadline, batch...)
	}
	sent := time.Now()
	answers, err := c.Conn.Exchange(deadline, batch...)
	c.pool.endExchange(c, batch, answers, time.Since(sent))
	return answers, err
}

// IdleFor returns how long the connection had been idle when it was acquired.
func (c *Conn) IdleFor() time.Duration { return c.acquiredAt.Sub(c.lastUsed) }

// unknownSession is the SessionID of a connection on which the target may keep the state
// of any session. No session has it.
const unknownSession = ^uint64(0)

// ForgetSession records that it isn't known which session state the target keeps.
func (c *Conn) ForgetSession() {
	c.ClearSession()
	c.SessionID = unknownSession
}

// MayKeepState reports whether the target may keep session state on the connection.
func (c *Conn) MayKeepState() bool {
	return c.SessionID == unknownSession || c.SettingSequence > 0 || len(c.Prepared) > 0
}

// ClearSession records that the target keeps no session state for this connection.
func (c *Conn) ClearSession() {
	c.SessionID, c.SettingSequence = 0, 0
	clear(c.Prepared)
}
