package target

import (
	"context"
	"database/sql/driver"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/mattn/go-sqlite3"
)

const (
	timestampFormat = "2006-01-02 15:04:05.999999-07:00"
	busyTimeoutMS   = 5000
)

// clock provides the current time and the cancellation context to the SQL
// functions of one connection. Its owner changes it only between statements.
type clock struct {
	ctx context.Context // context of the running statement; nil disables sleeping
	now time.Time       // value of now(); zero means the current time
}

func (c *clock) timestamp() string {
	if c.now.IsZero() {
		return time.Now().UTC().Format(timestampFormat)
	}
	return c.now.UTC().Format(timestampFormat)
}

// sleep implements pg_sleep. The argument is an integer, a float or NULL.
func (c *clock) sleep(argument any) (string, error) {
	seconds, _ := strconv.ParseFloat(encodeText(argument, oidFloat8), 64)
	if c.ctx == nil || seconds <= 0 {
		return "", nil
	}
	t := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return "", nil
	case <-c.ctx.Done():
		return "", c.ctx.Err()
	}
}

// database is one SQLite file, named by its generation. A log truncation that
// removes applied entries creates a new generation.
type database struct{ path string }

func newDatabase(dir string, generation int) (*database, error) {
	path := filepath.Join(dir, fmt.Sprintf("data-%d.sqlite", generation))
	for _, suffix := range []string{"", "-wal", "-shm"} {
		if err := os.Remove(path + suffix); err != nil && !os.IsNotExist(err) {
			return nil, err
		}
	}
	return &database{path: path}, nil
}

// open returns a connection whose SQL functions use c. The caller owns the
// connection.
func (d *database) open(c *clock) (*sqlite3.SQLiteConn, error) {
	sqliteDriver := &sqlite3.SQLiteDriver{ConnectHook: func(conn *sqlite3.SQLiteConn) error {
		functions := map[string]any{
			"now":      c.timestamp,
			"pg_sleep": c.sleep,
			"version":  func() string { return "PostgreSQL " + serverVersion },
		}
		for name, f := range functions {
			if err := conn.RegisterFunc(name, f, false); err != nil {
				return err
			}
		}
		return nil
	}}
	dsn := fmt.Sprintf("file:%s?_journal_mode=WAL&_synchronous=OFF&_busy_timeout=%d&_foreign_keys=1", d.path, busyTimeoutMS)
	conn, err := sqliteDriver.Open(dsn)
	if err != nil {
		return nil, err
	}
	return conn.(*sqlite3.SQLiteConn), nil
}

// execAll executes a semicolon-separated list of statements without arguments.
func execAll(conn *sqlite3.SQLiteConn, sql string) error {
	for _, text := range splitStatements(sql) {
		if err := execOne(conn, Statement{SQL: text}); err != nil {
			return err
		}
	}
	return nil
}

// execOne executes one statement and discards its rows.
func execOne(conn *sqlite3.SQLiteConn, st Statement) error {
	prepared, err := conn.Prepare(translateToSQLite(st.SQL))
	if err != nil {
		return err
	}
	defer prepared.Close()
	rows, err := prepared.(driver.StmtQueryContext).QueryContext(context.Background(), namedArgs(st.Args))
	if err != nil {
		return err
	}
	defer rows.Close()
	dest := make([]driver.Value, len(rows.Columns()))
	for {
		if err := rows.Next(dest); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// namedArgs binds the n-th argument to every occurrence of $n.
func namedArgs(args []Value) []driver.NamedValue {
	named := make([]driver.NamedValue, len(args))
	for i, v := range args {
		named[i] = driver.NamedValue{Name: strconv.Itoa(i + 1), Ordinal: i + 1, Value: v.sqliteValue()}
	}
	return named
}

// replayEntry executes the statements of one entry in a transaction.
func replayEntry(conn *sqlite3.SQLiteConn, c *clock, e Entry) error {
	if len(e.Statements) == 0 {
		return nil
	}
	return replay(conn, c, []Entry{e})
}

// replay executes the statements of all entries in one transaction.
func replay(conn *sqlite3.SQLiteConn, c *clock, entries []Entry) error {
	if err := execOne(conn, Statement{SQL: "BEGIN IMMEDIATE"}); err != nil {
		return err
	}
	for _, e := range entries {
		c.now = e.Time
		for _, st := range e.Statements {
			if err := execOne(conn, st); err != nil {
				_ = execOne(conn, Statement{SQL: "ROLLBACK"})
				return fmt.Errorf("entry %d/%d: %s: %w", e.Term, e.Offset, strings.TrimSpace(st.SQL), err)
			}
		}
	}
	return execOne(conn, Statement{SQL: "COMMIT"})
}
