package integration

import (
	"context"
	"database/sql"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/lib/pq"

	"nettlewalk.example/nettlewalk/test/testbed"
)

// servedByReplica reports whether a replica served the connection's last statement.
func servedByReplica(t *testing.T, ctx context.Context, conn *pgx.Conn) bool {
	t.Helper()
	var server string
	err := conn.QueryRow(ctx, "SHOW nettlewalk.served_by", pgx.QueryExecModeSimpleProtocol).Scan(&server)
	qt.Assert(t, err, qt.IsNil)
	return strings.HasSuffix(server, "(replica)")
}

// sqlState returns the SQLSTATE of a server error.
func sqlState(t *testing.T, err error) string {
	t.Helper()
	var pgErr *pgconn.PgError
	qt.Assert(t, err, qt.ErrorAs, &pgErr)
	return pgErr.Code
}

// The pgx driver works through a host without changes: its connection pool,
// transactions, prepared queries and server error codes.
func TestPgxWorksUnchanged(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	pool, err := pgxpool.New(ctx, bed.Hosts[0].URL(customerOf(bed), databaseOf(bed)))
	qt.Assert(t, err, qt.IsNil)
	defer pool.Close()

	tx, err := pool.Begin(ctx)
	qt.Assert(t, err, qt.IsNil)
	_, err = tx.Exec(ctx, "INSERT INTO roster VALUES ($1, $2, $3)", "crew-9", "friday", "free")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tx.Rollback(ctx), qt.IsNil)

	err = pgx.BeginFunc(ctx, pool, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, "INSERT INTO roster VALUES ($1, $2, $3)", "crew-8", "friday", "free")
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	rows, err := pool.Query(ctx, "SELECT crew FROM roster ORDER BY crew")
	qt.Assert(t, err, qt.IsNil)
	crews, err := pgx.CollectRows(rows, pgx.RowTo[string])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, crews, qt.DeepEquals, []string{"crew-1", "crew-2", "crew-8"})

	_, err = pool.Exec(ctx, "INSERT INTO roster VALUES ($1, $2, $3)", "crew-8", "friday", "free")
	qt.Assert(t, sqlState(t, err), qt.Equals, "23505")
	_, err = pool.Exec(ctx, "SELECT crew FROM nowhere")
	qt.Assert(t, sqlState(t, err), qt.Equals, "42P01", qt.Commentf("%v", err))
}

// database/sql with the lib/pq driver works through a host without changes.
func TestDatabaseSQLWithPqWorksUnchanged(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	db, err := sql.Open("postgres", bed.Hosts[1].URL(customerOf(bed), databaseOf(bed)))
	qt.Assert(t, err, qt.IsNil)
	defer db.Close()
	_, err = db.ExecContext(ctx, "INSERT INTO roster VALUES ($1, $2, $3)", "crew-7", "friday", "free")
	qt.Assert(t, err, qt.IsNil)
	prepared, err := db.PrepareContext(ctx, "SELECT day FROM roster WHERE crew = $1")
	qt.Assert(t, err, qt.IsNil)
	defer prepared.Close()
	var day string
	qt.Assert(t, prepared.QueryRowContext(ctx, "crew-7").Scan(&day), qt.IsNil)
	qt.Assert(t, day, qt.Equals, "friday")
	tx, err := db.BeginTx(ctx, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = tx.ExecContext(ctx, "DELETE FROM roster")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tx.Rollback(), qt.IsNil)
	var n int
	qt.Assert(t, db.QueryRowContext(ctx, "SELECT count(*) FROM roster").Scan(&n), qt.IsNil)
	qt.Assert(t, n, qt.Equals, 3)
}

// A prepared statement remains usable after a failover has replaced the primary
// and the connection to it.
func TestPreparedStatementSurvivesFailover(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	conn := connect(t, ctx, bed, 1)
	_, err := conn.Prepare(ctx, "book", "INSERT INTO bookings (id) VALUES ($1)")
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Exec(ctx, "book", "one")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bed.Primary(ctx, bed.Plan.Groups[0]).Kill(), qt.IsNil)
	_, err = conn.Exec(ctx, "book", "two")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, countBookingsAtPrimary(t, ctx, bed, "two"), qt.Equals, 1)
}

// Unsupported statements and settings are refused with an error code of the
// product, and the connection remains usable.
func TestUnsupportedFeaturesAreRefused(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	conn := connect(t, ctx, bed, 0)
	statements := []string{
		"COPY bookings FROM STDIN",
		"LISTEN jobs",
		"SET work_mem = '1GB'",
		"SET nettlewalk.nonsense = 1",
	}
	for _, s := range statements {
		_, err := conn.Exec(ctx, s, pgx.QueryExecModeSimpleProtocol)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", s))
		qt.Check(t, err.Error(), qt.Contains, "nettlewalk 50", qt.Commentf("%s", s))
		_, err = countBookings(ctx, conn, "any")
		qt.Assert(t, err, qt.IsNil, qt.Commentf("after %s", s))
	}
}

// A cancel request through a host cancels the query at the target.
func TestCancelReachesTheTarget(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	conn := connect(t, ctx, bed, 1)
	queryDone := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(60)")
		queryDone <- err
	}()
	err := testbed.Until(ctx, "the query is cancelled", func() bool {
		qt.Check(t, conn.PgConn().CancelRequest(ctx), qt.IsNil)
		select {
		case err := <-queryDone:
			qt.Check(t, sqlState(t, err), qt.Equals, "57014", qt.Commentf("%v", err))
			return true
		default:
			return false
		}
	})
	qt.Assert(t, err, qt.IsNil)
}

// Invalid connection parameters get their error code. Malformed messages and an
// oversized statement neither stop the host nor affect other connections.
func TestHostSurvivesBadInput(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	host := bed.Hosts[0]
	customer, database := customerOf(bed), databaseOf(bed)
	connects := []struct {
		what    string
		connect func() (*pgx.Conn, error)
		code    string
	}{
		{"unknown customer", func() (*pgx.Conn, error) { return host.Connect(ctx, "nobody", database) }, "502"},
		{"unknown database", func() (*pgx.Conn, error) { return host.Connect(ctx, customer, "nothing") }, "502"},
		{"malformed token", func() (*pgx.Conn, error) { return host.Connect(ctx, customer, database, "nettlewalk.token=x") }, "504"},
		{"unknown setting", func() (*pgx.Conn, error) { return host.Connect(ctx, customer, database, "nettlewalk.x=1") }, "505"},
		{"malformed setting", func() (*pgx.Conn, error) {
			return host.Connect(ctx, customer, database, "nettlewalk.max_staleness=soon")
		}, "505"},
	}
	for _, c := range connects {
		_, err := c.connect()
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", c.what))
		qt.Check(t, err.Error(), qt.Contains, "nettlewalk "+c.code, qt.Commentf("%s", c.what))
	}
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x08\xff\xff\xff\xff", "\xff\xff\xff\xff\x00\x03\x00\x00", "\x00\x00\x00\x04"} {
		sendGarbage(t, host.CallerAddr(), garbage)
	}
	conn := connect(t, ctx, bed, 0)
	_, err := conn.Exec(ctx, "SELECT '"+strings.Repeat("x", 20<<20)+"'", pgx.QueryExecModeSimpleProtocol)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, insertBooking(ctx, connect(t, ctx, bed, 0), "after"), qt.IsNil)
	qt.Assert(t, host.Running(), qt.IsTrue)
}

const garbageTimeout = 30 * time.Second // the host closes a malformed connection earlier

// sendGarbage sends malformed content and waits until the host closes the
// connection.
func sendGarbage(t *testing.T, addr, content string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(garbageTimeout)), qt.IsNil)
	_, err = conn.Write([]byte(content))
	qt.Assert(t, err, qt.IsNil)
	buf := make([]byte, 1024)
	for err == nil {
		_, err = conn.Read(buf)
	}
	var timeout net.Error
	if ok := asNetError(err, &timeout); ok && timeout.Timeout() {
		t.Errorf("%q: the host kept the connection open", content)
	}
}

// asNetError stores err in netErr and reports whether err is a net.Error.
func asNetError(err error, netErr *net.Error) bool {
	asserted, ok := err.(net.Error)
	*netErr = asserted
	return ok
}
