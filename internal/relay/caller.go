package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
)

// Errors of a Caller. All others mean that the connection is gone.
var (
	ErrMalformed = errors.New("unreadable message") // the next one may be well
	ErrNothing   = errors.New("no message came in time")
	ErrEnded     = errors.New("the caller ended the session")
)

// Caller is the connection of one caller. One goroutine uses it, but for
// Interrupt and Close.
type Caller interface {
	// Start reads which database the caller wants.
	Start() (database string, err error)
	// Ready tells the caller that the session stands.
	Ready() error
	// Refuse answers a start with an error.
	Refuse(code statement.Code, detail string) error
	// Next reads the next statement, waiting until the deadline, zero: for ever.
	Next(deadline time.Time) (statement.Statement, error)
	// Answer sends the answer to the last statement.
	Answer(a *statement.Answer) error
	// Interrupt makes a Next that waits return ErrNothing.
	Interrupt()
	// CloseWrite tells the caller that no more answers come. Next still reads.
	CloseWrite()
	Close()
}
