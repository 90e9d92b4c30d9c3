package target_test

import (
	"context"
	"database/sql"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/standin/target"
)

const seed = `
CREATE TABLE booking (id INTEGER PRIMARY KEY, crew TEXT NOT NULL, hours REAL, paid BOOLEAN, doc BLOB);
CREATE UNIQUE INDEX booking_crew ON booking (crew);`

var login = ctl.Login{User: "nettlewalk", Database: "nettlewalk"}

// group consists of three servers; the first one is the primary.
type group struct {
	c       *qt.C
	servers []*target.Server
	configs []target.Config
}

func startGroup(c *qt.C, configure func(*target.Config)) *group {
	g := &group{c: c}
	for i := range 3 {
		cfg := target.Config{ID: id(i), Primary: id(0), Dir: c.TempDir(), SeedSQL: seed}
		if configure != nil {
			configure(&cfg)
		}
		s, err := target.Start(cfg)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { s.Close() })
		g.servers = append(g.servers, s)
		g.configs = append(g.configs, cfg)
	}
	g.exchangePeerAddrs()
	return g
}

func id(i int) topology.TargetID { return topology.TargetID(fmt.Sprintf("t%d", i)) }

func (g *group) exchangePeerAddrs() {
	for i, s := range g.servers {
		for _, other := range g.servers {
			other.SetPeer(id(i), s.PeerAddr())
		}
	}
}

// restart starts a closed server again in the same directory.
func (g *group) restart(i int) {
	s, err := target.Start(g.configs[i])
	g.c.Assert(err, qt.IsNil)
	g.c.Cleanup(func() { s.Close() })
	g.servers[i] = s
	g.exchangePeerAddrs()
}

func (g *group) url(i int) string {
	return "postgres://app@" + g.servers[i].Addr() + "/db?sslmode=disable"
}

func (g *group) connectPgx(i int) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), g.url(i))
	g.c.Assert(err, qt.IsNil)
	g.c.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func (g *group) dialControl(i int) *ctl.Conn {
	conn, err := ctl.Dial(context.Background(), g.servers[i].Addr(), login, nil)
	g.c.Assert(err, qt.IsNil)
	g.c.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// waitFor polls until ok returns true and fails the test after 10 seconds.
func waitFor(c *qt.C, what string, ok func() bool) {
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func sqlstate(err error) string {
	if e, ok := err.(*pgconn.PgError); ok {
		return e.Code
	}
	return fmt.Sprint(err)
}

func TestPgxReadsAndWritesAllTypes(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	conn := g.connectPgx(0)
	_, err := conn.Exec(ctx, "INSERT INTO booking (id, crew, hours, paid, doc) VALUES ($1, $2, $3, $4, $5)", 7, "blue", 2.5, true, []byte{0, 1})
	c.Assert(err, qt.IsNil)
	var (
		crew  string
		hours float64
		paid  bool
		doc   []byte
		n     int
	)
	row := conn.QueryRow(ctx, "SELECT crew, hours, paid, doc FROM booking WHERE id = $1", 7)
	c.Assert(row.Scan(&crew, &hours, &paid, &doc), qt.IsNil)
	c.Assert(fmt.Sprintf("%v %v %v %v", crew, hours, paid, doc), qt.Equals, "blue 2.5 true [0 1]")
	c.Assert(conn.QueryRow(ctx, "SELECT count(*) AS n FROM booking").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	c.Assert(conn.QueryRow(ctx, "UPDATE booking SET hours = hours + $1 WHERE id = $2 RETURNING id", 1.5, 7).Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, 7)
	_, err = conn.Exec(ctx, "INSERT INTO booking (crew) VALUES ($1)", "blue")
	c.Assert(sqlstate(err), qt.Equals, "23505")
	_, err = conn.Exec(ctx, "SELEC")
	c.Assert(sqlstate(err), qt.Equals, "42601")
	_, err = conn.Exec(ctx, "SELECT * FROM nowhere")
	c.Assert(sqlstate(err), qt.Equals, "42P01")
}

func TestLibPQDriver(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	db, err := sql.Open("postgres", g.url(0))
	c.Assert(err, qt.IsNil)
	defer db.Close()
	tx, err := db.Begin()
	c.Assert(err, qt.IsNil)
	_, err = tx.Exec("INSERT INTO booking (id, crew, paid, doc) VALUES ($1, $2, $3, $4)", 1, "red", false, []byte("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(tx.Commit(), qt.IsNil)
	var id int64
	var crew string
	c.Assert(db.QueryRow("SELECT id, crew FROM booking WHERE crew = $1", "red").Scan(&id, &crew), qt.IsNil)
	c.Assert(id, qt.Equals, int64(1))
}

func TestTransactionStates(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	conn := g.connectPgx(0)
	tx, err := conn.Begin(ctx)
	c.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "INSERT INTO booking (id, crew) VALUES (1, 'a')")
	c.Assert(err, qt.IsNil)
	c.Assert(conn.PgConn().TxStatus(), qt.Equals, byte('T'))
	var n int
	c.Assert(g.connectPgx(0).QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, 0)
	nested, err := tx.Begin(ctx)
	c.Assert(err, qt.IsNil)
	_, err = nested.Exec(ctx, "INSERT INTO booking (id, crew) VALUES (2, 'a')")
	c.Assert(sqlstate(err), qt.Equals, "23505")
	_, err = nested.Exec(ctx, "SELECT 1")
	c.Assert(sqlstate(err), qt.Equals, "25P02")
	c.Assert(conn.PgConn().TxStatus(), qt.Equals, byte('E'))
	c.Assert(nested.Rollback(ctx), qt.IsNil)
	c.Assert(tx.Commit(ctx), qt.IsNil)
	c.Assert(conn.QueryRow(ctx, "SELECT count(*) FROM booking").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	_, err = conn.Exec(ctx, "BEGIN READ ONLY; INSERT INTO booking (crew) VALUES ('z')")
	c.Assert(sqlstate(err), qt.Equals, ctl.StateNotPrimary)
}

func TestConnectionLimitDelayAndCancel(t *testing.T) {
	c := qt.New(t)
	const connectDelay = 30 * time.Millisecond
	g := startGroup(c, func(cfg *target.Config) { cfg.MaxConnections, cfg.ConnectDelay = 2, connectDelay })
	ctx := context.Background()
	before := time.Now()
	conn := g.connectPgx(0)
	c.Assert(time.Since(before) >= connectDelay, qt.IsTrue)
	g.connectPgx(0)
	_, err := pgx.Connect(ctx, g.url(0))
	c.Assert(err, qt.ErrorMatches, "(?s).*"+ctl.StateTooManyConnections+".*")
	c.Assert(g.servers[0].HighestConnections(), qt.Equals, 2)

	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(60)")
		done <- err
	}()
	waitFor(c, "the statement to be canceled", func() bool {
		_ = conn.PgConn().CancelRequest(ctx)
		select {
		case err = <-done:
			return true
		default:
			return false
		}
	})
	c.Assert(sqlstate(err), qt.Equals, "57014", qt.Commentf("%v", err))
}

func TestSlotLocks(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	ctx := context.Background()
	a, b := g.dialControl(0), g.dialControl(0)
	for _, step := range []struct {
		conn *ctl.Conn
		want bool
	}{{a, true}, {a, true}, {b, false}} {
		got, err := step.conn.LockSlot(ctx, 1)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, step.want)
	}
	c.Assert(b.TerminateSlotHolder(ctx, 1), qt.IsNil)
	got, err := b.LockSlot(ctx, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.IsTrue)
	_, err = a.Status(ctx)
	c.Assert(err, qt.IsNotNil)
}

func TestLargeResult(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, nil)
	rows, err := g.connectPgx(0).Query(context.Background(),
		"WITH RECURSIVE n(i) AS (VALUES (1) UNION ALL SELECT i + 1 FROM n WHERE i < 20000) SELECT i, 'xxxxxxxxxxxxxxxxxxxx' AS pad FROM n")
	c.Assert(err, qt.IsNil)
	got, err := pgx.CollectRows(rows, func(row pgx.CollectableRow) (string, error) {
		var i int64
		var pad string
		err := row.Scan(&i, &pad)
		return pad, err
	})
	c.Assert(err, qt.IsNil)
	c.Assert(len(strings.Join(got, "")), qt.Equals, 20000*20)
}
