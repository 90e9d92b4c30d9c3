package statement

import (
	"context"
	"time"

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

// The outcomes. Only the first two are signs that the target is dead: one that
// accepts a connection lives, whatever it does next, since a target at its
// limit of connections resets new ones.
const (
	DialRefused  DialOutcome = iota + 1 // nobody listens
	DialSilent                          // no answer to the connection request
	DialRejected                        // accepted and then refused; see Code
)

// String returns the name used in logs and metrics.
func (o DialOutcome) String() string {
	switch o {
	case DialRefused:
		return "refused"
	case DialSilent:
		return "silent"
	}
	return "rejected"
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
