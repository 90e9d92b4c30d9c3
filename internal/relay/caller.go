package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
)

// Errors of a Caller. Any other error means that the connection is lost.
var (
	ErrMalformed    = errors.New("unreadable message")        // the next message may be readable
	ErrNoMemory     = errors.New("no memory for the message") // the next message may be readable
	ErrNoMessage    = errors.New("no message before the deadline")
	ErrSessionEnded = errors.New("the caller ended the session")
)

// Startup is what a caller asks for when it connects.
type Startup struct {
	Database string
	Key      string // identifies the customer; "": none was given
}

// Caller is the connection of one caller. Only Interrupt and Close are safe to
// call concurrently with other methods.
type Caller interface {
	// ReadStartup reads the startup message.
	ReadStartup() (Startup, error)
	// Ready tells the caller that the session is established.
	Ready() error
	// Refuse rejects the startup with an error.
	Refuse(code statement.Code, detail string) error
	// Next reads the next statement. It returns ErrNoMessage if none begins to arrive
	// before the deadline, or if its rest doesn't arrive within a limit. A zero
	// deadline means no time limit.
	Next(deadline time.Time) (statement.Statement, error)
	// Answer sends the answer to the last statement.
	Answer(a *statement.Answer) error
	// Interrupt makes Next, blocked now or called later, return what has arrived or
	// ErrNoMessage without waiting.
	Interrupt()
	// ClearInterrupt ends the effect of earlier calls of Interrupt. Whoever calls it
	// looks afterwards at what the interrupts were for.
	ClearInterrupt()
	// CloseWrite tells the caller that no more answers follow. Next can still read.
	CloseWrite()
	Close()
}
