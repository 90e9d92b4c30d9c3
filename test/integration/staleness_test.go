package integration

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const countFreeSQL = "SELECT count(*) FROM roster WHERE state = 'free'"

// countFree returns the number of free roster entries that the connection sees.
func countFree(ctx context.Context, conn *pgx.Conn) (int, error) {
	var n int
	err := conn.QueryRow(ctx, countFreeSQL).Scan(&n)
	return n, err
}

// stalenessPlan has two customers with a staleness bound. In a partition, reads
// beyond the bound are refused for one customer and served for the other.
func stalenessPlan() testbed.Plan {
	plan := testbed.Small()
	refusing, serving := testbed.DefaultCustomer("refuser"), testbed.DefaultCustomer("server")
	refusing.MaxStaleness, serving.MaxStaleness = time.Second, time.Second
	refusing.WhenCutOff, serving.WhenCutOff = customer.RefuseStaleReads, customer.ServeStaleReads
	plan.Customers = []testbed.Customer{refusing, serving}
	return plan
}

// In a failure domain that is partitioned from the primary, reads of the customer
// that accepts stale data still succeed. Reads of the customer that refuses stale
// data fail immediately with an error code once the staleness bound has passed.
func TestPartitionedDomainServesOrRefusesStaleReads(t *testing.T) {
	bed, ctx := start(t, stalenessPlan())
	isolated := bed.Hosts[2] // in a failure domain that has a replica
	refusedConn, err := isolated.ConnectViewer(ctx, "refuser", databaseOf(bed))
	qt.Assert(t, err, qt.IsNil)
	defer closeConn(refusedConn)
	servedConn, err := isolated.ConnectViewer(ctx, "server", databaseOf(bed))
	qt.Assert(t, err, qt.IsNil)
	defer closeConn(servedConn)
	for _, conn := range []*pgx.Conn{refusedConn, servedConn} {
		_, err := countFree(ctx, conn)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, bed.Network.Cut(testbed.AcrossDomain(isolated.Domain)), qt.IsNil)
	err = testbed.Until(ctx, "the staleness bound has passed", func() bool {
		n, err := countFree(ctx, servedConn)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, 2)
		_, err = countFree(ctx, refusedConn)
		return err != nil
	})
	qt.Assert(t, err, qt.IsNil)
	_, err = countFree(ctx, refusedConn)
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*nettlewalk 2(06|16).*`)
	n, err := countFree(ctx, servedConn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 2)
	qt.Assert(t, bed.Network.Heal(ctx), qt.IsNil)
	err = testbed.Until(ctx, "reads of the refusing customer succeed again", func() bool {
		if refusedConn.IsClosed() {
			refusedConn, err = isolated.ConnectViewer(ctx, "refuser", databaseOf(bed))
			qt.Assert(t, err, qt.IsNil)
		}
		_, err := countFree(ctx, refusedConn)
		return err == nil
	})
	qt.Assert(t, err, qt.IsNil)
}

// Replicas that lag by minutes serve no read with a staleness bound of 1 s. The
// primary serves it, and the caller sees the current value.
func TestLaggingReplicasServeNoBoundedRead(t *testing.T) {
	plan := stalenessPlan()
	plan.ApplyLag = 5 * time.Minute
	bed, ctx := start(t, plan)
	writer, err := bed.Hosts[0].Connect(ctx, "refuser", databaseOf(bed))
	qt.Assert(t, err, qt.IsNil)
	defer closeConn(writer)
	_, err = writer.Exec(ctx, "UPDATE roster SET state = 'locked' WHERE crew = 'crew-1'")
	qt.Assert(t, err, qt.IsNil)
	viewer, err := bed.Hosts[2].ConnectViewer(ctx, "refuser", databaseOf(bed))
	qt.Assert(t, err, qt.IsNil)
	defer closeConn(viewer)
	err = testbed.Until(ctx, "the staleness bound has passed and the write is visible", func() bool {
		n, err := countFree(ctx, viewer)
		qt.Assert(t, err, qt.IsNil)
		return n == 1
	})
	qt.Assert(t, err, qt.IsNil)
}
