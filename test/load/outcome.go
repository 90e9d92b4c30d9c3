package load

import (
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
		return outcomeOfState(pgErr.Code)
	}
	if pgconn.SafeToRetry(err) {
		return history.NotRun
	}
	return history.Unknown
}

// SQLSTATEs after which the outcome isn't known.
var unknownStates = map[string]bool{
	"08007": true, // transaction resolution unknown
	"08006": true, // connection failure
	"40003": true, // statement completion unknown
	"57P01": true, // the server ended the connection
}

func outcomeOfState(state string) history.Outcome {
	if unknownStates[state] {
		return history.Unknown
	}
	return history.NotRun
}
