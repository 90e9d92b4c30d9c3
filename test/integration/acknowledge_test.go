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

// A template's acknowledgement mode takes effect: with "term" a write doesn't
// wait for replication, with "majority" it does. An operator can change the mode
// while connections are open.
func TestAcknowledgementFollowsTemplate(t *testing.T) {
	plan := testbed.Small()
	plan.ReceiveLag = 400 * time.Millisecond
	plan.Customers[0].Acknowledge = customer.AckTerm
	bed, ctx := start(t, plan)
	programs, err := testbed.Build()
	qt.Assert(t, err, qt.IsNil)
	operator := &commandLine{program: programs.Host, address: bed.Hosts[2].AdminAddr()}
	conn := connect(t, ctx, bed, 0)
	qt.Assert(t, insertBooking(ctx, conn, "first"), qt.IsNil) // opens the connections to the targets, so that dials don't count below
	qt.Check(t, insertDuration(t, ctx, conn, "by-term") < plan.ReceiveLag, qt.IsTrue)

	operator.mustExit(t, ctx, exitDone, "template", "set", string(customerOf(bed)), "--field", "parameters.acknowledge=majority")
	err = testbed.Until(ctx, "writes wait for replication", func() bool {
		return insertDuration(t, ctx, conn, "by-majority-"+time.Now().String()) >= plan.ReceiveLag
	})
	qt.Check(t, err, qt.IsNil)
}

// insertDuration inserts a booking and returns how long the insert took.
func insertDuration(t *testing.T, ctx context.Context, conn *pgx.Conn, id string) time.Duration {
	t.Helper()
	began := time.Now()
	qt.Assert(t, insertBooking(ctx, conn, id), qt.IsNil)
	return time.Since(began)
}
