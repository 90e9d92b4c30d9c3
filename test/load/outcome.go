package load

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"nettlewalk.example/nettlewalk/test/history"
)

// Outcome classifies a write by the error that the caller received.
func Outcome(err error) history.Outcome {
	if err == nil {
		return history.Acknowledged
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return serverErrorOutcome(pgErr)
	}
	if pgconn.SafeToRetry(err) {
		return history.NotRun
	}
	return history.Unknown
}

// notRunMessage matches the proxy's errors which guarantee that the statement did
// not take effect.
var notRunMessage = regexp.MustCompile(`^nettlewalk 2\d\d \(not run\)`)

// outcomeUnknownMessage matches the proxy's errors for statements whose outcome
// it cannot determine.
var outcomeUnknownMessage = regexp.MustCompile(`^nettlewalk 3\d\d \(outcome unknown\)`)

// serverErrorOutcome classifies an error response. The proxy's messages state the
// outcome. Connection failures (SQLSTATE class 08) and a stopping server (57P)
// leave the outcome unknown. Any other error comes from the target and means
// that the statement failed.
func serverErrorOutcome(e *pgconn.PgError) history.Outcome {
	switch {
	case notRunMessage.MatchString(e.Message):
		return history.NotRun
	case outcomeUnknownMessage.MatchString(e.Message), strings.HasPrefix(e.Code, "08"), strings.HasPrefix(e.Code, "57P"):
		return history.Unknown
	default:
		return history.NotRun
	}
}
