package statement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Conn is a connection to one target. One goroutine uses it at a time.
type Conn interface {
	// Exchange sends the statements in one write and reads their answers in
	// order. It returns the answers that came whole; with fewer answers than
	// statements the error is a *Broken and the connection must be closed.
	Exchange(deadline time.Time, batch ...Statement) ([]Answer, error)
	// Alive tells whether the connection looks usable: neither ended nor with
	// bytes that nobody asked for. A silent one looks usable.
	Alive() bool
	// Close ends the connection. The target rolls back what is open on it.
	Close()
}

// Dialer opens connections to targets. An error is a *DialError.
type Dialer interface {
	Dial(ctx context.Context, target topology.Target) (Conn, error)
}

// Broken is the end of a connection before all answers came.
type Broken struct {
	Sent    bool // at least a byte left: a statement without an answer may have run
	Timeout bool // the deadline passed; the target may be well
	Cause   error
}

// Error implements error.
func (b *Broken) Error() string { return "connection to the target: " + b.Cause.Error() }

// Unwrap returns the cause.
func (b *Broken) Unwrap() error { return b.Cause }

// DialOutcome is how a dial failed.
type DialOutcome uint8

// The outcomes. Only the first two are signs at once that the target is dead:
// one that accepts a connection may be at its limit of connections and reset
// new ones. If it does so for long, see Mute.
const (
	DialRefused  DialOutcome = iota + 1 // nobody listens
	DialSilent                          // no answer to the connection request
	DialRejected                        // accepted and then refused; see Code
	DialMute                            // accepted and then ended, or left, without a word
)

// String returns the name used in logs and metrics.
func (o DialOutcome) String() string {
	switch o {
	case DialRefused:
		return "refused"
	case DialSilent:
		return "silent"
	case DialMute:
		return "mute"
	}
	return "rejected"
}

// muteFor is how long a target may accept connections without ever a word
// before it counts as one that serves nobody: a second longer than targets keep
// the connections of hosts that lost power, and so may be at their limit.
const muteFor = 4 * time.Second

// Mute follows the dials of a target. The zero value has seen none.
type Mute struct{ since time.Time }

// Note takes a dial's result, nil if it succeeded. It tells whether the target
// has been mute for so long that nobody seems to be served.
func (m *Mute) Note(err error, now time.Time) (serves bool) {
	var failure *DialError
	if !errors.As(err, &failure) || failure.Outcome != DialMute {
		m.since = time.Time{}
		return true
	}
	if m.since.IsZero() {
		m.since = now
	}
	return now.Sub(m.since) < muteFor
}

// DialError is a connection that couldn't be opened.
type DialError struct {
	Outcome DialOutcome
	Code    Code // of a rejection, Unrecognized if it gave none
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return "dial target: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// TargetStatus is what a target tells of itself.
type TargetStatus struct {
	Primary     bool // it believes that it leads; only a begun transaction proves it
	Term        uint64
	Received    topology.Position // end of its log
	PausedTerm  uint64            // 0: not paused
	LagMS       uint64
	Busy        uint64 // work slots in use and waited for
	Connections uint64
}

// StatusParser reads the row that Status, Pause and Demote return.
type StatusParser func(row string) (TargetStatus, error)
