package integration

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	startTimeout  = 2 * time.Minute  // builds the programs the first time
	testTimeout   = 3 * time.Minute  // of one test, on a busy machine
	failoverBound = 10 * time.Second // each change of primary is over by then
	handoverBound = 5 * time.Second  // "a few seconds"
	seed          = 20261203
)

func TestMain(m *testing.M) {
	code := m.Run()
	testbed.RemovePrograms()
	os.Exit(code)
}

// start starts a plan's processes for one test. On failure the test prints
// the end of their logs.
func start(t *testing.T, plan testbed.Plan) (*testbed.Bed, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	bed, err := testbed.Start(startCtx, plan)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(bed.Logs())
		}
		bed.Close()
	})
	return bed, ctx
}

func customerOf(bed *testbed.Bed) topology.CustomerID { return bed.Plan.Customers[0].ID }

func databaseOf(bed *testbed.Bed) string { return string(bed.Plan.Groups[0]) }

// connect opens a caller's connection for the length of the test.
func connect(t *testing.T, ctx context.Context, bed *testbed.Bed, host int, params ...string) *pgx.Conn {
	t.Helper()
	conn, err := bed.Hosts[host].Connect(ctx, customerOf(bed), databaseOf(bed), params...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

// insert books one row.
func insert(ctx context.Context, conn *pgx.Conn, id string) error {
	_, err := conn.Exec(ctx, "INSERT INTO bookings (id, crew, session, seq) VALUES ($1, 'crew-1', 'test', 1)", id)
	return err
}

// count returns how many rows of that id the connection sees.
func count(ctx context.Context, conn *pgx.Conn, id string) (int, error) {
	var n int
	err := conn.QueryRow(ctx, "SELECT count(*) FROM bookings WHERE id = $1", id).Scan(&n)
	return n, err
}

// countAtPrimary returns how many rows of that id the primary holds.
func countAtPrimary(t *testing.T, ctx context.Context, bed *testbed.Bed, id string) int {
	t.Helper()
	primary := bed.Primary(ctx, bed.Plan.Groups[0])
	qt.Assert(t, primary, qt.IsNotNil)
	conn, err := primary.Connect(ctx)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close(ctx)
	n, err := count(ctx, conn, id)
	qt.Assert(t, err, qt.IsNil)
	return n
}

// mixedLoad is sessions of every mode on all of the plan's groups.
func mixedLoad(bed *testbed.Bed) load.Config {
	return load.Config{
		Customer:   customerOf(bed),
		Databases:  bed.Plan.Groups,
		Sessions:   12 * len(bed.Plan.Groups),
		Modes:      []load.Mode{load.ModeIdentity, load.ModeToken, load.ModePlain},
		Viewers:    4 * len(bed.Plan.Groups),
		WriteShare: 0.4,
		Pause:      15 * time.Millisecond,
		Seed:       seed,
		MaxStale:   time.Minute,
	}
}

// check ends the load and fails the test if a promise was broken.
func check(t *testing.T, ctx context.Context, run *load.Run) {
	t.Helper()
	run.Stop()
	report, err := run.Check(ctx)
	qt.Assert(t, err, qt.IsNil)
	t.Log(report.String())
	for text, n := range run.Timings.Errors() {
		t.Logf("%d times %s", n, text)
	}
	qt.Assert(t, report.Broken(), qt.IsFalse, qt.Commentf("%s", report.String()))
	qt.Assert(t, report.Acknowledged > 0, qt.IsTrue)
	qt.Assert(t, report.Reads > 0, qt.IsTrue)
}

// waitWrites waits until n more writes of every group have landed.
func waitWrites(t *testing.T, ctx context.Context, bed *testbed.Bed, run *load.Run, n int) {
	t.Helper()
	since := time.Now()
	for _, g := range bed.Plan.Groups {
		err := testbed.Until(ctx, fmt.Sprintf("%d writes of %s land", n, g), func() bool {
			return run.Timings.LandedSince(g, since) >= n
		})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%v", run.Timings.Errors()))
	}
}

// waitFollows waits until the target is a replica of the group's primary.
func waitFollows(t *testing.T, ctx context.Context, bed *testbed.Bed, id topology.TargetID) {
	t.Helper()
	target := bed.Targets[id]
	err := testbed.Until(ctx, string(id)+" follows the primary", func() bool {
		primary := bed.Primary(ctx, target.Group)
		if primary == nil || primary.ID == id {
			return false
		}
		state, err := target.State(ctx)
		return err == nil && state.Primary == primary.ID
	})
	qt.Assert(t, err, qt.IsNil)
}
