package target

import (
	"context"
	"database/sql/driver"
	"fmt"
	"io"
	"strings"

	"github.com/mattn/go-sqlite3"
)

var shownSettings = map[string]string{
	"transaction_isolation":         "read committed",
	"transaction":                   "read committed",
	"server_version":                serverVersion,
	"standard_conforming_strings":   "on",
	"timezone":                      "UTC",
	"client_encoding":               "UTF8",
	"default_transaction_read_only": "off",
}

// execute runs one statement, writes its rows to out and returns its command
// tag. The caller holds the session's mutex.
func (s *session) execute(p *prepared, args []Value, out *rowWriter) (string, error) {
	if s.tx.failed && p.kind != kindRollback && p.kind != kindCommit && p.kind != kindSavepoint {
		return "", s.failedTransactionError()
	}
	ctx, done := s.beginStatement()
	defer done()
	switch p.kind {
	case kindEmpty:
		return "", nil
	case kindBegin:
		s.begin(strings.Contains(strings.ToUpper(p.sql), "READ ONLY"))
		return "BEGIN", nil
	case kindCommit:
		return s.executeCommit()
	case kindRollback:
		s.rollback()
		return "ROLLBACK", nil
	case kindSavepoint:
		return s.executeSavepoint(ctx, p)
	case kindSet:
		if strings.Contains(strings.ToUpper(p.sql), "TRANSACTION READ ONLY") {
			s.tx.readOnly = s.tx.explicit
		}
		return firstWords(p.sql, 1)[0], nil
	case kindShow:
		return "SHOW", out.writeRow(p.columns, []any{shownSettings[p.columns[0].name]})
	case kindControl:
		return s.executeControl(ctx, p, args, out)
	default:
		return s.executeSQL(ctx, p, args, out)
	}
}

// failedTransactionError returns the error for a statement in a failed
// transaction. The first statement after a fence gets the not-primary error
// instead.
func (s *session) failedTransactionError() error {
	if s.tx.fenced {
		s.tx.fenced = false
		return errNotPrimary()
	}
	return pgErrorf(stateFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
}

func (s *session) executeCommit() (string, error) {
	if s.tx.fenced {
		s.rollback()
		return "", errNotPrimary()
	}
	committed, err := s.commit()
	if err != nil {
		return "", err
	}
	if !committed {
		return "ROLLBACK", nil
	}
	return "COMMIT", nil
}

// executeSavepoint forwards savepoint statements to SQLite on a writable
// server. In a read-only transaction there are no changes to roll back, so
// only the command tag is returned.
func (s *session) executeSavepoint(ctx context.Context, p *prepared) (string, error) {
	tag := firstWords(p.sql, 1)[0]
	rollback := tag == "ROLLBACK" || tag == "ABORT"
	if !s.tx.explicit {
		return "", pgErrorf("25P01", "%s can only be used in transaction blocks", tag)
	}
	if s.tx.failed && (!rollback || s.tx.fenced) {
		return "", s.failedTransactionError()
	}
	if _, ok := s.srv.node.writable(0); s.tx.write == nil && (s.tx.readOnly || !ok) {
		s.tx.failed = false
		return tag, nil
	}
	if err := s.beginWrite(ctx); err != nil {
		return "", err
	}
	if err := execOne(s.db, Statement{SQL: p.sql}); err != nil {
		return "", err
	}
	s.tx.failed = false
	s.tx.write.statements = append(s.tx.write.statements, Statement{SQL: p.sql})
	return tag, nil
}

func (s *session) executeControl(ctx context.Context, p *prepared, args []Value, out *rowWriter) (string, error) {
	// A role change rolls back the writes of other sessions, so it must run
	// without this session's mutex.
	s.mu.Unlock()
	row, err := s.runControl(ctx, p.control, args)
	s.mu.Lock()
	if err != nil {
		return "", err
	}
	return "SELECT 1", out.writeRow(p.columns, row)
}

func (s *session) executeSQL(ctx context.Context, p *prepared, args []Value, out *rowWriter) (string, error) {
	s.srv.countStatement(s.user)
	if !p.readonly {
		if err := s.beginWrite(ctx); err != nil {
			return "", err
		}
	}
	n, err := s.runStatement(ctx, p, args, out)
	if err != nil {
		return "", s.classifyError(ctx, err)
	}
	if !p.sqliteStmt.Readonly() {
		s.tx.write.statements = append(s.tx.write.statements, Statement{SQL: p.sql, Args: args})
	}
	return commandTag(p.sql, n), nil
}

// classifyError returns the not-primary error for a write interrupted by a
// fence, and the context error for a canceled statement. Other errors are
// returned unchanged.
func (s *session) classifyError(ctx context.Context, err error) error {
	if s.tx.write != nil {
		if _, ok := s.srv.node.writable(s.tx.write.term); !ok {
			return errNotPrimary()
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// runStatement executes a statement and returns the number of rows that it
// returned or changed.
func (s *session) runStatement(ctx context.Context, p *prepared, args []Value, out *rowWriter) (int64, error) {
	if !p.sqliteStmt.Readonly() && !returningPattern.MatchString(p.sql) {
		res, err := p.sqliteStmt.ExecContext(ctx, namedArgs(args))
		if err != nil {
			return 0, err
		}
		return res.RowsAffected()
	}
	rows, err := p.sqliteStmt.QueryContext(ctx, namedArgs(args))
	if err != nil {
		return 0, err
	}
	defer rows.Close()
	return s.sendRows(p, rows.(*sqlite3.SQLiteRows), out)
}

func (s *session) sendRows(p *prepared, rows *sqlite3.SQLiteRows, out *rowWriter) (int64, error) {
	columns := p.columns
	values := make([]driver.Value, len(rows.Columns()))
	row := make([]any, len(values))
	rowCount := int64(0)
	for ; ; rowCount++ {
		err := rows.Next(values)
		if err != nil && err != io.EOF {
			return rowCount, err
		}
		if columns == nil {
			columns = columnsFromFirstRow(rows, values)
		}
		if err == io.EOF {
			return rowCount, out.writeDescription(columns)
		}
		for i, v := range values {
			row[i] = v
		}
		if err := out.writeRow(columns, row); err != nil {
			return rowCount, err
		}
	}
}

func columnsFromFirstRow(rows *sqlite3.SQLiteRows, values []driver.Value) []column {
	decls := rows.DeclTypes()
	columns := make([]column, len(values))
	for i, name := range rows.Columns() {
		columns[i] = column{name: columnName(name), oid: columnOID(decls[i])}
		if columns[i].oid == 0 {
			columns[i].oid = expressionOID(columns[i].name, values[i])
		}
	}
	return columns
}

func commandTag(sql string, n int64) string {
	words := append(firstWords(sql, 2), "")
	switch words[0] {
	case "INSERT", "REPLACE":
		return fmt.Sprintf("INSERT 0 %d", n)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", words[0], n)
	case "CREATE", "DROP", "ALTER":
		return words[0] + " " + words[1]
	default:
		return fmt.Sprintf("SELECT %d", n)
	}
}

func (s *Server) countStatement(user string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statements[user]++
}
