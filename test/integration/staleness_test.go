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

const listing = "SELECT count(*) FROM roster WHERE state = 'free'"

func list(ctx context.Context, conn *pgx.Conn) (int, error) {
	var n int
	err := conn.QueryRow(ctx, listing).Scan(&n)
	return n, err
}

// stalenessPlan has two customers that differ in what becomes of reads past
// the bound.
func stalenessPlan() testbed.Plan {
	plan := testbed.Small()
	refuse, serve := testbed.DefaultCustomer("refuser"), testbed.DefaultCustomer("server")
	refuse.MaxStaleness, serve.MaxStaleness = time.Second, time.Second
	refuse.WhenCutOff, serve.WhenCutOff = customer.Refuse, customer.Serve
	plan.Customers = []testbed.Customer{refuse, serve}
	return plan
}

// In a domain that is cut off from the primary, listings of a customer that
// serves stale data go on; those of one that refuses are refused by code once
// the bound has passed, and at once.
func TestCutOffDomainServesOrRefuses(t *testing.T) {
	bed, ctx := start(t, stalenessPlan())
	cut := bed.Hosts[2] // its domain holds a replica
	refused, err := cut.ConnectViewer(ctx, "refuser", databaseOf(bed))
	qt.Assert(t, err, qt.IsNil)
	defer closeConn(refused)
	served, err := cut.ConnectViewer(ctx, "server", databaseOf(bed))
	qt.Assert(t, err, qt.IsNil)
	defer closeConn(served)
	for _, conn := range []*pgx.Conn{refused, served} {
		_, err := list(ctx, conn)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, bed.Network.Cut(testbed.AcrossDomain(cut.Domain)), qt.IsNil)
	err = testbed.Until(ctx, "the bound has passed", func() bool {
		n, err := list(ctx, served)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, 2)
		_, err = list(ctx, refused)
		return err != nil
	})
	qt.Assert(t, err, qt.IsNil)
	_, err = list(ctx, refused)
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*nettlewalk 2(06|16).*`)
	n, err := list(ctx, served)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 2)
	qt.Assert(t, bed.Network.Heal(ctx), qt.IsNil)
	err = testbed.Until(ctx, "the refuser is served again", func() bool {
		if refused.IsClosed() {
			refused, err = cut.ConnectViewer(ctx, "refuser", databaseOf(bed))
			qt.Assert(t, err, qt.IsNil)
		}
		_, err := list(ctx, refused)
		return err == nil
	})
	qt.Assert(t, err, qt.IsNil)
}

// A replica minutes behind serves no read within a bound of a second: the
// primary does, and the caller sees the current value.
func TestReplicasMinutesBehindServeNoBoundedRead(t *testing.T) {
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
	err = testbed.Until(ctx, "the bound has passed and the write is seen", func() bool {
		n, err := list(ctx, viewer)
		qt.Assert(t, err, qt.IsNil)
		return n == 1
	})
	qt.Assert(t, err, qt.IsNil)
}
