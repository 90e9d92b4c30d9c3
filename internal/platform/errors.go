package platform

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrGone is returned when the platform's change history no longer includes the
// watched revision. The caller must list the kind again.
var ErrGone = errors.New("the platform's change history no longer includes the watched revision")

// ErrConflict is returned when the object doesn't have the version that a
// conditional write requires. The rejected attempt had no effect. Current is nil
// if the object doesn't exist.
type ErrConflict struct{ Current *Object }

// Error implements error.
func (e *ErrConflict) Error() string {
	if e.Current == nil {
		return "version conflict: no such object"
	}
	return fmt.Sprintf("version conflict: the object has version %d", e.Current.Version)
}

// errOutcomeUnknown means that a request may have reached the platform, but no
// valid answer was received.
type errOutcomeUnknown struct{ cause error }

func (e *errOutcomeUnknown) Error() string { return "no valid platform answer: " + e.cause.Error() }
func (e *errOutcomeUnknown) Unwrap() error { return e.cause }

// errNotApplied means that the request had no effect: it was not sent, or the
// platform refused it with a status that guarantees this.
type errNotApplied struct{ cause error }

func (e *errNotApplied) Error() string { return "not applied by the platform: " + e.cause.Error() }
func (e *errNotApplied) Unwrap() error { return e.cause }
