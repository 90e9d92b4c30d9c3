package session

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// Severities of an ErrorResponse.
const (
	severityError = "ERROR" // the connection stays usable
	severityFatal = "FATAL" // the connection ends
)

// errorResponse returns err as callers see it.
func errorResponse(severity string, err *result.Error) *pgproto3.ErrorResponse {
	info := result.Describe(err.Code)
	response := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                info.SQLState,
		Message:             fmt.Sprintf("nettlewalk %d (%s): %s", err.Code, err.Code.Group(), info.Meaning),
		Detail:              err.Detail,
	}
	if err.RetryAfter > 0 {
		response.Hint = fmt.Sprintf("retry after %d ms", max(1, err.RetryAfter.Milliseconds()))
	}
	return response
}

// abortedResponse refuses a statement of a transaction that is lost.
func abortedResponse() *pgproto3.ErrorResponse {
	response := errorResponse(severityError, result.New(result.TransactionLost,
		"the transaction is over; end it with ROLLBACK before going on"))
	response.Code = stateFailedTransaction
	return response
}

// stateFailedTransaction is in_failed_sql_transaction.
const stateFailedTransaction = "25P02"

// stateNoStatement is invalid_sql_statement_name.
const stateNoStatement = "26000"
