package platform

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrGone tells that the platform's history no longer reaches back to the
// watched revision: list again.
var ErrGone = errors.New("the platform's history doesn't reach back that far")

// ErrConflict tells that a conditional write met another version. It surely
// didn't take effect. Current is nil when the object doesn't exist.
type ErrConflict struct{ Current *Object }

// Error implements error.
func (e *ErrConflict) Error() string {
	if e.Current == nil {
		return "version conflict: no such object"
	}
	return fmt.Sprintf("version conflict: the object has version %d", e.Current.Version)
}

// errNoAnswer means that a request may have reached the platform, but no
// answer came back.
type errNoAnswer struct{ cause error }

func (e *errNoAnswer) Error() string { return "no answer from the platform: " + e.cause.Error() }
func (e *errNoAnswer) Unwrap() error { return e.cause }

// errNotSent means that the platform surely didn't act on the request.
type errNotSent struct{ cause error }

func (e *errNotSent) Error() string { return "the platform can't be reached: " + e.cause.Error() }
func (e *errNotSent) Unwrap() error { return e.cause }
