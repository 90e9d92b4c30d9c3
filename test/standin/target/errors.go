package target

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/mattn/go-sqlite3"

	ctl "nettlewalk.example/nettlewalk/internal/target"
)

// SQLSTATEs that the stand-in returns in addition to those in package
// internal/target.
const (
	stateUnique         = "23505"
	stateNotNull        = "23502"
	stateForeignKey     = "23503"
	stateCheck          = "23514"
	stateSyntax         = "42601"
	stateNoTable        = "42P01"
	stateNoColumn       = "42703"
	stateDuplicateTable = "42P07"
	stateCanceled       = "57014"
	stateShutdown       = "57P01"
	stateFailedTx       = "25P02"
	stateWrongState     = "55000"
	stateNoStatement    = "26000"
	stateNoPortal       = "34000"
	stateProtocol       = "08P01"
	stateBadParameter   = "22P02"
	stateUnsupported    = "0A000"
	stateInternal       = "XX000"
)

// pgError is an error with a SQLSTATE.
type pgError struct{ code, message string }

func (e *pgError) Error() string { return e.code + ": " + e.message }

func pgErrorf(code, format string, args ...any) *pgError {
	return &pgError{code: code, message: fmt.Sprintf(format, args...)}
}

func (e *pgError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                e.code,
		Message:             e.message,
	}
}

func errNotPrimary() *pgError {
	return pgErrorf(ctl.StateNotPrimary, "cannot execute a write in a read-only transaction: this server is not the primary")
}

// toPGError converts any error to a pgError with a matching SQLSTATE.
func toPGError(err error) *pgError {
	var pg *pgError
	if errors.As(err, &pg) {
		return pg
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return pgErrorf(stateCanceled, "canceling statement due to user request")
	}
	var sqliteErr sqlite3.Error
	if errors.As(err, &sqliteErr) {
		return &pgError{code: sqlstateOf(sqliteErr), message: sqliteErr.Error()}
	}
	return pgErrorf(stateInternal, "%v", err)
}

func sqlstateOf(err sqlite3.Error) string {
	switch err.ExtendedCode {
	case sqlite3.ErrConstraintUnique, sqlite3.ErrConstraintPrimaryKey, sqlite3.ErrConstraintRowID:
		return stateUnique
	case sqlite3.ErrConstraintNotNull:
		return stateNotNull
	case sqlite3.ErrConstraintForeignKey:
		return stateForeignKey
	case sqlite3.ErrConstraintCheck:
		return stateCheck
	}
	if err.Code == sqlite3.ErrInterrupt {
		return stateCanceled
	}
	text := err.Error()
	switch {
	case strings.Contains(text, "no such table"):
		return stateNoTable
	case strings.Contains(text, "no such column"), strings.Contains(text, "has no column"):
		return stateNoColumn
	case strings.Contains(text, "already exists"):
		return stateDuplicateTable
	case strings.Contains(text, "syntax error"), strings.Contains(text, "incomplete input"), strings.Contains(text, "unrecognized token"):
		return stateSyntax
	default:
		return stateInternal
	}
}
