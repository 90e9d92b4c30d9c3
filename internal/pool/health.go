package pool

import (
	"context"
	"net"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"nettlewalk.example/nettlewalk/internal/target"
)

// HealthKind classifies the failure of a control connection.
type HealthKind string

// The failure kinds, from the strongest evidence that the target is down to the
// weakest.
const (
	HealthRefused  HealthKind = "refused"   // connecting failed at once: the target is down
	HealthBroken   HealthKind = "broken"    // an established connection was closed
	HealthSilent   HealthKind = "silent"    // an established connection does not answer
	HealthNoAnswer HealthKind = "no answer" // connecting timed out
	HealthFull     HealthKind = "full"      // the target accepts no more connections
	HealthRejected HealthKind = "rejected"  // the target answered with another error
)

// HealthError is a failure of a control connection.
type HealthError struct {
	Kind HealthKind
	Err  error
}

func (e *HealthError) Error() string { return string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *HealthError) Unwrap() error { return e.Err }

// connectFailure classifies the error of an attempt to connect.
func connectFailure(err error) *HealthError {
	var pgErr *pgconn.PgError
	switch {
	case errors.As(err, &pgErr) && pgErr.Code == target.StateTooManyConnections:
		return &HealthError{Kind: HealthFull, Err: err}
	case errors.As(err, &pgErr):
		return &HealthError{Kind: HealthRejected, Err: err}
	case isTimeout(err):
		return &HealthError{Kind: HealthNoAnswer, Err: err}
	default:
		return &HealthError{Kind: HealthRefused, Err: err}
	}
}

// roundTripFailure classifies the error of a statement on a control connection.
func roundTripFailure(err error) *HealthError {
	var pgErr *pgconn.PgError
	switch {
	case errors.As(err, &pgErr):
		return &HealthError{Kind: HealthRejected, Err: err}
	case isTimeout(err):
		return &HealthError{Kind: HealthSilent, Err: err}
	default:
		return &HealthError{Kind: HealthBroken, Err: err}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, os.ErrDeadlineExceeded) ||
		(errors.As(err, &netErr) && netErr.Timeout())
}
