package statement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Conn is a connection to one target. It isn't safe for concurrent use.
type Conn interface {
	// Exchange sends the statements in one write and reads their answers in
	// order. It returns the answers that arrived completely. If there are fewer
	// answers than statements, the error is a *ConnError and the connection must be
	// closed.
	Exchange(deadline time.Time, batch ...Statement) ([]Answer, error)
	// Alive reports whether the connection looks usable: the target hasn't closed
	// it, and no unsolicited bytes have arrived. It doesn't detect a target that
	// no longer responds.
	Alive() bool
	// Close closes the connection. The target rolls back its open transaction.
	Close()
}

// Meter is implemented by connections that measure what they exchange.
type Meter interface {
	// ExchangedBytes returns the bytes that the last Exchange sent and received.
	ExchangedBytes() int
}

// Dialer opens connections to targets. Its errors are of type *DialError.
type Dialer interface {
	// Dial opens a connection for statements of one customer, "" where there are no
	// customers.
	Dial(ctx context.Context, target topology.Target, customer topology.CustomerID) (Conn, error)
}

// ConnError is the error of a connection that failed before all answers arrived.
type ConnError struct {
	Sent    bool // at least one byte was sent, so that an unanswered statement may have run
	Timeout bool // the deadline passed; the target may be healthy
	Cause   error
}

// Error implements error.
func (b *ConnError) Error() string { return "target connection broke: " + b.Cause.Error() }

// Unwrap returns the cause.
func (b *ConnError) Unwrap() error { return b.Cause }

// DialOutcome classifies a failed dial.
type DialOutcome uint8

// The outcomes. Only DialRefused and DialTimedOut are immediate signs that the
// target is down: a target that accepts connections may have reached its
// connection limit and reset new connections. HandshakeMonitor tells when this has lasted
// too long to be the cause.
const (
	DialRefused     DialOutcome = iota + 1 // nothing listens at the address
	DialTimedOut                           // no response to the connection request
	DialRejected                           // accepted, then refused with an error; see DialError.Code
	DialNoHandshake                        // accepted, then closed or left unanswered during the handshake
)

// String returns the name used in logs and metrics.
func (o DialOutcome) String() string {
	switch o {
	case DialRefused:
		return "refused"
	case DialTimedOut:
		return "silent"
	case DialNoHandshake:
		return "mute"
	}
	return "rejected"
}

// maxHandshakeOutage is how long a target may accept connections without answering a
// handshake before it counts as serving nobody. Targets keep the connections of
// hosts that lost power and may be at their connection limit until those are
// closed; maxHandshakeOutage is one second longer than that.
const maxHandshakeOutage = 4 * time.Second

// HandshakeMonitor tracks how long a target has accepted connections without answering a
// handshake. The zero value is ready to use.
type HandshakeMonitor struct{ failingSince time.Time }

// RecordDial records the result of a dial, nil for success. It returns false once all
// dials for maxHandshakeOutage have ended in DialNoHandshake, so that the target seems to serve
// nobody. Any other result restarts the measurement.
func (m *HandshakeMonitor) RecordDial(err error, now time.Time) (serving bool) {
	var failure *DialError
	if !errors.As(err, &failure) || failure.Outcome != DialNoHandshake {
		m.failingSince = time.Time{}
		return true
	}
	if m.failingSince.IsZero() {
		m.failingSince = now
	}
	return now.Sub(m.failingSince) < maxHandshakeOutage
}

// DialError is the error of a failed dial.
type DialError struct {
	Outcome DialOutcome
	Code    Code // of DialRejected; Unrecognized if the target sent none
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return "dial target: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// TargetStatus is what a target reports about itself.
type TargetStatus struct {
	Primary     bool // the target believes that it leads; only a transaction that it begins proves it
	Term        uint64
	Received    topology.Position // end of the target's log
	PausedTerm  uint64            // term of the Pause in force; 0: not paused
	LagMS       uint64
	Busy        uint64 // work slots in use plus requests waiting for one
	Connections uint64
}

// StatusParser parses the row that Status, Pause and Demote return.
type StatusParser func(row string) (TargetStatus, error)
