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

// clock gives the SQL functions of one connection their time and lets them be
// canceled. Its owner changes it between statements only.
type clock struct {
	ctx context.Context // of the statement that runs; nil: don't sleep
	now time.Time       // zero: the current time
}

func (c *clock) timestamp() string {
	if c.now.IsZero() {
		return time.Now().UTC().Format(timestampFormat)
	}
	return c.now.UTC().Format(timestampFormat)
}

// sleep takes seconds as an integer, a float or NULL.
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

// database is one SQLite file. The generation names it: after a truncation of
// the log a new one is built.
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

// open returns a connection, owned by the caller, whose functions use c.
func (d *database) open(c *clock) (*sqlite3.SQLiteConn, error) {
	drv := &sqlite3.SQLiteDriver{ConnectHook: func(conn *sqlite3.SQLiteConn) error {
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
	conn, err := drv.Open(dsn)
	if err != nil {
		return nil, err
	}
	return conn.(*sqlite3.SQLiteConn), nil
}

// execAll runs statements without arguments.
func execAll(conn *sqlite3.SQLiteConn, sql string) error {
	for _, text := range splitStatements(sql) {
		if err := execOne(conn, Statement{SQL: text}); err != nil {
			return err
		}
	}
	return nil
}

// execOne runs one statement to its end.
func execOne(conn *sqlite3.SQLiteConn, st Statement) error {
	prepared, err := conn.Prepare(translate(st.SQL))
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

// namedArgs binds the n-th argument to $n, wherever it stands.
func namedArgs(args []Value) []driver.NamedValue {
	named := make([]driver.NamedValue, len(args))
	for i, v := range args {
		named[i] = driver.NamedValue{Name: strconv.Itoa(i + 1), Ordinal: i + 1, Value: v.plain()}
	}
	return named
}

// applyEntry runs an entry's statements in one transaction.
func applyEntry(conn *sqlite3.SQLiteConn, c *clock, e Entry) error {
	if len(e.Statements) == 0 {
		return nil
	}
	return replay(conn, c, []Entry{e})
}

// replay runs the statements of many entries in one transaction.
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
