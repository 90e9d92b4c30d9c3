package integration

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/test/testbed"
)

const replicaLag = 400 * time.Millisecond // long enough that reads without a floor miss every write

// While replicas lag, a session sees its own writes immediately through every
// host, whether it is continued by token or by identity.
func TestSessionReadsItsWritesThroughEveryHost(t *testing.T) {
	plan := testbed.Small()
	plan.HostsPerDomain = 2
	plan.ApplyLag = replicaLag
	bed, ctx := start(t, plan)
	identityConns := make([]*pgx.Conn, len(bed.Hosts))
	for i := range bed.Hosts {
		identityConns[i] = connect(t, ctx, bed, i, "nettlewalk.session=supervisor")
	}
	for from := range bed.Hosts {
		for to := range bed.Hosts {
			id := fmt.Sprintf("identity-%d-%d", from, to)
			qt.Assert(t, insertBooking(ctx, identityConns[from], id), qt.IsNil)
			n, err := countBookings(ctx, identityConns[to], id)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s", id))

			id = fmt.Sprintf("token-%d-%d", from, to)
			writer := connect(t, ctx, bed, from)
			qt.Assert(t, insertBooking(ctx, writer, id), qt.IsNil)
			token := writer.PgConn().ParameterStatus("nettlewalk.token")
			qt.Assert(t, token, qt.Not(qt.Equals), "")
			reader := connect(t, ctx, bed, to, "nettlewalk.token="+token)
			n, err = countBookings(ctx, reader, id)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s", id))

			id = fmt.Sprintf("fresh-%d-%d", from, to)
			qt.Assert(t, insertBooking(ctx, writer, id), qt.IsNil)
			fresh := connect(t, ctx, bed, to)
			n, err = countBookings(ctx, fresh, id)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s: a new connection starts at the confirmed position", id))
		}
	}
}

// Each host in turn is frozen while a session writes through a second host, and
// thawed before the session reads through a third one. One of the frozen hosts
// stores the session's floor. After it thaws, it must not answer with an older
// floor.
func TestThawedHostServesNoOutdatedFloor(t *testing.T) {
	plan := testbed.Small()
	plan.HostsPerDomain = 2
	plan.ApplyLag = replicaLag
	bed, ctx := start(t, plan)
	for frozen := range bed.Hosts {
		other := (frozen + 1) % len(bed.Hosts)
		third := (frozen + 2) % len(bed.Hosts)
		session := fmt.Sprintf("nettlewalk.session=s%d", frozen)
		writer := connect(t, ctx, bed, other, session)
		reader := connect(t, ctx, bed, third, session)
		qt.Assert(t, insertBooking(ctx, writer, fmt.Sprintf("before-%d", frozen)), qt.IsNil)

		qt.Assert(t, bed.Hosts[frozen].Freeze(), qt.IsNil)
		id := fmt.Sprintf("during-%d", frozen)
		err := testbed.Until(ctx, "a write succeeds without "+bed.Hosts[frozen].Name, func() bool {
			id += "x"
			if writer.IsClosed() {
				writer = connect(t, ctx, bed, other, session)
			}
			return insertBooking(ctx, writer, id) == nil
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bed.Hosts[frozen].Thaw(), qt.IsNil)
		n, err := countBookings(ctx, reader, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s", id))
		qt.Assert(t, bed.WaitReady(ctx), qt.IsNil)
	}
}

// A replica serves a session's reads once it has applied the session's writes.
func TestReplicaServesSessionAfterCatchUp(t *testing.T) {
	plan := testbed.Small()
	plan.ApplyLag = replicaLag
	bed, ctx := start(t, plan)
	for i := range bed.Hosts {
		conn := connect(t, ctx, bed, i, fmt.Sprintf("nettlewalk.session=s%d", i))
		qt.Assert(t, insertBooking(ctx, conn, fmt.Sprintf("row-%d", i)), qt.IsNil)
		err := testbed.Until(ctx, "a replica serves the session", func() bool {
			n, err := countBookings(ctx, conn, fmt.Sprintf("row-%d", i))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, n, qt.Equals, 1)
			return servedByReplica(t, ctx, conn)
		})
		qt.Assert(t, err, qt.IsNil)
	}
}
