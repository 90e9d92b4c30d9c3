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
	startTimeout  = 2 * time.Minute  // includes building the programs on first use
	testTimeout   = 3 * time.Minute  // of one test, on a busy machine
	failoverBound = 10 * time.Second // stated limit for a complete change of primary
	handoverBound = 5 * time.Second  // stated limit: "a few seconds"
	seed          = 20261203
)

func TestMain(m *testing.M) {
	code := m.Run()
	testbed.RemovePrograms()
	os.Exit(code)
}

// start starts a plan's processes and closes them when the test ends. If the
// test fails, it prints the end of their logs.
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

// connect opens a caller's connection through a host and closes it when the test
// ends.
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

// insertBooking inserts one booking with the given id.
func insertBooking(ctx context.Context, conn *pgx.Conn, id string) error {
	_, err := conn.Exec(ctx, "INSERT INTO bookings (id, crew, session, seq) VALUES ($1, 'crew-1', 'test', 1)", id)
	return err
}

// countBookings returns the number of bookings with the given id that are visible
// on the connection.
func countBookings(ctx context.Context, conn *pgx.Conn, id string) (int, error) {
	var n int
	err := conn.QueryRow(ctx, "SELECT count(*) FROM bookings WHERE id = $1", id).Scan(&n)
	return n, err
}

// countBookingsAtPrimary returns the number of bookings with the given id on the
// group's primary, bypassing the hosts.
func countBookingsAtPrimary(t *testing.T, ctx context.Context, bed *testbed.Bed, id string) int {
	t.Helper()
	primary := bed.Primary(ctx, bed.Plan.Groups[0])
	qt.Assert(t, primary, qt.IsNotNil)
	conn, err := primary.Connect(ctx)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close(ctx)
	n, err := countBookings(ctx, conn, id)
	qt.Assert(t, err, qt.IsNil)
	return n
}

// mixedLoad returns a load of reads and writes with sessions of every mode on all
// groups of the plan.
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

// stopAndCheckLoad stops the load and fails the test if a guarantee was violated.
func stopAndCheckLoad(t *testing.T, ctx context.Context, run *load.Run) {
	t.Helper()
	run.Stop()
	report, err := run.Check(ctx)
	qt.Assert(t, err, qt.IsNil)
	t.Log(report.String())
	for text, n := range run.Timings.Errors() {
		t.Logf("%d occurrences of %s", n, text)
	}
	qt.Assert(t, report.Broken(), qt.IsFalse, qt.Commentf("%s", report.String()))
	qt.Assert(t, report.Acknowledged > 0, qt.IsTrue)
	qt.Assert(t, report.Reads > 0, qt.IsTrue)
}

// waitWrites waits until n more writes have succeeded in every group.
func waitWrites(t *testing.T, ctx context.Context, bed *testbed.Bed, run *load.Run, n int) {
	t.Helper()
	since := time.Now()
	for _, g := range bed.Plan.Groups {
		err := testbed.Until(ctx, fmt.Sprintf("%d writes of %s succeed", n, g), func() bool {
			return run.Timings.LandedSince(g, since) >= n
		})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%v", run.Timings.Errors()))
	}
}

// waitUntilReplica waits until the target replicates from its group's primary.
func waitUntilReplica(t *testing.T, ctx context.Context, bed *testbed.Bed, id topology.TargetID) {
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
