package session

import (
	"context"
	"database/sql"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	"github.com/lib/pq"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func connect(t testing.TB, dsn string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), dsn)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// sqlState returns the SQLSTATE of an error from pgx or lib/pq.
func sqlState(err error) string {
	var fromPgx *pgconn.PgError
	if errors.As(err, &fromPgx) {
		return fromPgx.Code
	}
	var fromPq *pq.Error
	if errors.As(err, &fromPq) {
		return string(fromPq.Code)
	}
	return ""
}

func TestPgxDefaultQueryMode(t *testing.T) {
	router := &fakeRouter{}
	_, addr := startServer(t, router, nil)
	ctx := testContext(t)
	conn := connect(t, dsn(addr, "crew", ""))
	var got string
	for range 3 {
		err := conn.QueryRow(ctx, "select $1", "a").Scan(&got)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "select $1")
	}
	qt.Assert(t, router.lastCall().Class, qt.Equals, pool.Read)
	_, err := conn.Exec(ctx, "insert into t values ($1)", "a")
	qt.Assert(t, err, qt.IsNil)
	call := router.lastCall()
	qt.Assert(t, call.Class, qt.Equals, pool.Write)
	qt.Assert(t, call.Idempotent, qt.IsFalse)
	qt.Assert(t, conn.PgConn().ParameterStatus(settingToken), qt.Not(qt.Equals), "")
	_, err = conn.Exec(ctx, "broken")
	qt.Assert(t, sqlState(err), qt.Equals, "42601")
	tx, err := conn.Begin(ctx)
	qt.Assert(t, err, qt.IsNil)
	_, err = tx.Exec(ctx, "insert 1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tx.Commit(ctx), qt.IsNil)
	qt.Assert(t, conn.Ping(ctx), qt.IsNil)
}

func TestPgxPool(t *testing.T) {
	_, addr := startServer(t, &fakeRouter{}, nil)
	ctx := testContext(t)
	pgxPool, err := pgxpool.New(ctx, dsn(addr, "crew", "&pool_max_conns=4"))
	qt.Assert(t, err, qt.IsNil)
	defer pgxPool.Close()
	done := make(chan error)
	for range 16 {
		go func() {
			var got string
			done <- pgxPool.QueryRow(ctx, "select $1", "x").Scan(&got)
		}()
	}
	for range 16 {
		qt.Check(t, <-done, qt.IsNil)
	}
}

func TestDatabaseSQLWithLibPQ(t *testing.T) {
	router := &fakeRouter{}
	_, addr := startServer(t, router, nil)
	ctx := testContext(t)
	db, err := sql.Open("postgres", dsn(addr, "crew", ""))
	qt.Assert(t, err, qt.IsNil)
	defer db.Close()
	var got string
	qt.Assert(t, db.QueryRowContext(ctx, "select $1", "a").Scan(&got), qt.IsNil)
	qt.Assert(t, got, qt.Equals, "select $1")
	stmt, err := db.PrepareContext(ctx, "insert into t values ($1)")
	qt.Assert(t, err, qt.IsNil)
	_, err = stmt.ExecContext(ctx, "b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stmt.Close(), qt.IsNil)
	tx, err := db.BeginTx(ctx, &sql.TxOptions{ReadOnly: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tx.QueryRowContext(ctx, "select 1").Scan(&got), qt.IsNil)
	qt.Assert(t, tx.Commit(), qt.IsNil)
	_, err = db.ExecContext(ctx, "listen x")
	qt.Assert(t, sqlState(err), qt.Equals, "0A000")
}

func TestPasswordAuthentication(t *testing.T) {
	_, addr := startServer(t, &fakeRouter{}, func(o *Options) { o.AllowTrust = false })
	ctx := testContext(t)
	for _, c := range []struct{ user, sqlState string }{
		{"ada:secret", ""},
		{"ada:wrong", "28P01"},
		{"nobody:x", "28000"},
		{"crew:x", "28P01"},
	} {
		conn, err := pgx.Connect(ctx, dsn(addr, c.user, ""))
		qt.Check(t, sqlState(err), qt.Equals, c.sqlState, qt.Commentf("%s: %v", c.user, err))
		if err == nil {
			_ = conn.Close(ctx)
		}
		db, err := sql.Open("postgres", dsn(addr, c.user, ""))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, sqlState(db.PingContext(ctx)), qt.Equals, c.sqlState, qt.Commentf("lib/pq %s", c.user))
		_ = db.Close()
	}
}

func TestLostTransactionRejectsStatementsUntilRollback(t *testing.T) {
	router := &fakeRouter{refuse: func(sql string) *result.Error {
		if sql == "insert 2" {
			return result.New(result.TransactionLost, "the target connection was lost")
		}
		return nil
	}}
	_, addr := startServer(t, router, nil)
	ctx := testContext(t)
	conn := connect(t, dsn(addr, "crew", ""))
	tx, err := conn.Begin(ctx)
	qt.Assert(t, err, qt.IsNil)
	_, err = tx.Exec(ctx, "insert 1")
	qt.Assert(t, err, qt.IsNil)
	_, err = tx.Exec(ctx, "insert 2")
	qt.Assert(t, sqlState(err), qt.Equals, "40001")
	_, err = tx.Exec(ctx, "insert 3")
	qt.Assert(t, sqlState(err), qt.Equals, "25P02")
	qt.Assert(t, tx.Commit(ctx), qt.ErrorIs, pgx.ErrTxCommitRollback)
	qt.Assert(t, router.executedStatements(), qt.DeepEquals, []string{"begin", "insert 1"})
	_, err = conn.Exec(ctx, "insert 4")
	qt.Assert(t, err, qt.IsNil)
}
