package load

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"nettlewalk.example/nettlewalk/test/history"
)

// Outcome tells what a caller may conclude from a write's error.
func Outcome(err error) history.Outcome {
	if err == nil {
		return history.Acknowledged
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return outcomeOfAnswer(pgErr)
	}
	if pgconn.SafeToRetry(err) {
		return history.NotRun
	}
	return history.Unknown
}

// saysNotRun is how the proxy words its promise that nothing took effect.
var saysNotRun = regexp.MustCompile(`^nettlewalk 2\d\d \(not run\)`)

// saysUnknown is how the proxy words that it doesn't know.
var saysUnknown = regexp.MustCompile(`^nettlewalk 3\d\d \(outcome unknown\)`)

// outcomeOfAnswer takes the proxy at its word; a target's own error means that
// the statement failed.
func outcomeOfAnswer(e *pgconn.PgError) history.Outcome {
	switch {
	case saysNotRun.MatchString(e.Message):
		return history.NotRun
	case saysUnknown.MatchString(e.Message), strings.HasPrefix(e.Code, "08"), strings.HasPrefix(e.Code, "57P"):
		return history.Unknown
	default:
		return history.NotRun
	}
}
