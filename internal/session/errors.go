package session

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// Severities of an ErrorResponse.
const (
	severityError = "ERROR" // the connection stays usable
	severityFatal = "FATAL" // the connection ends
)

// errorResponse returns the ErrorResponse message for err.
func errorResponse(severity string, err *result.Error) *pgproto3.ErrorResponse {
	description := result.Describe(err.Code)
	response := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                description.SQLState,
		Message:             fmt.Sprintf("nettlewalk %d (%s): %s", err.Code, err.Code.Group(), description.Meaning),
		Detail:              err.Detail,
	}
	if err.RetryAfter > 0 {
		response.Hint = hintText(max(time.Millisecond, err.RetryAfter))
	}
	return response
}

// failedTransactionResponse returns the error for a statement of a failed or lost
// transaction.
func failedTransactionResponse() *pgproto3.ErrorResponse {
	response := errorResponse(severityError, result.New(result.TransactionLost,
		"the transaction has ended; send ROLLBACK before other statements"))
	response.Code = sqlStateInFailedTransaction
	return response
}

// sqlStateInFailedTransaction is in_failed_sql_transaction.
const sqlStateInFailedTransaction = "25P02"

// sqlStateInvalidStatementName is invalid_sql_statement_name.
const sqlStateInvalidStatementName = "26000"
