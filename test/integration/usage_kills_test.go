package integration

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/internal/adminclient"
	"nettlewalk.example/nettlewalk/internal/usage"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	chargedCallers = 12
	chargedWrites  = 300 // answered between two deaths
)

// The report counts every answered statement and none twice, after the kill of
// a holder under load, of an entry host under load, and of both at once.
func TestUsageIsWholeAfterKills(t *testing.T) {
	plan := testbed.Association()
	plan.Groups = plan.Groups[:1]
	bed, ctx := start(t, plan)
	holders, entries := bed.Hosts[:2], bed.Hosts[2:] // the primary is in the first two hosts' domain
	asked := entries[3]
	w := startWriters(ctx, bed, entries)
	defer func() { w.stop() }()

	w.wait(t, ctx)
	kill(t, ctx, holders[0])
	w.wait(t, ctx)
	w.checkReport(t, ctx, bed, asked)
	replace(t, ctx, holders[0])

	w.wait(t, ctx)
	kill(t, ctx, entries[0])
	w.wait(t, ctx)
	w.checkReport(t, ctx, bed, asked)
	replace(t, ctx, entries[0])

	w = w.moveTo(ctx, entries[2:3]) // nobody else sees the meters of this work
	w.wait(t, ctx)
	w.stop()
	waitHandedOver(t, ctx, holders[1], entries[2])
	kill(t, ctx, holders[1], entries[2])
	w.checkReport(t, ctx, bed, asked)
	w = w.moveTo(ctx, entries[:2])
	w.wait(t, ctx)
	w.stop()
	w.checkReport(t, ctx, bed, asked)
}

// waitHandedOver waits until witnesses have all readings of the hosts' own:
// what both did since would be lost with them.
func waitHandedOver(t *testing.T, ctx context.Context, hosts ...*testbed.Host) {
	t.Helper()
	for _, host := range hosts {
		err := testbed.Until(ctx, host.Name+" has handed its readings over", func() bool {
			raw, err := adminclient.New(host.AdminAddr(), testbed.OperatorToken).Dump(ctx, "usage")
			var dump struct{ Usage usage.Dump }
			return err == nil && json.Unmarshal(raw, &dump) == nil && dump.Usage.Unhanded == 0
		})
		qt.Assert(t, err, qt.IsNil)
	}
}

// replace starts a killed host again, as a new process that knows nothing.
func replace(t *testing.T, ctx context.Context, host *testbed.Host) {
	t.Helper()
	qt.Assert(t, host.Restart(ctx), qt.IsNil)
	qt.Assert(t, host.WaitReady(ctx), qt.IsNil)
}

// kill kills hosts; then the platform no longer lists them.
func kill(t *testing.T, ctx context.Context, hosts ...*testbed.Host) {
	t.Helper()
	for _, host := range hosts {
		qt.Assert(t, host.Kill(), qt.IsNil)
	}
	for _, host := range hosts {
		qt.Assert(t, host.MarkGone(ctx), qt.IsNil)
	}
}

// writers are callers that write one row after the other through some hosts.
type writers struct {
	bed      *testbed.Bed
	hosts    []*testbed.Host
	sent     atomic.Int64 // statements, answered or not
	answered atomic.Int64
	cancel   context.CancelFunc
	callers  sync.WaitGroup
}

func startWriters(ctx context.Context, bed *testbed.Bed, hosts []*testbed.Host) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{bed: bed, hosts: hosts, cancel: cancel}
	for i := range chargedCallers {
		w.callers.Go(func() { w.run(ctx, i) })
	}
	return w
}

func (w *writers) stop() {
	w.cancel()
	w.callers.Wait()
}

// moveTo ends the writers and starts others, who go on counting.
func (w *writers) moveTo(ctx context.Context, hosts []*testbed.Host) *writers {
	w.stop()
	next := startWriters(ctx, w.bed, hosts)
	next.sent.Add(w.sent.Load())
	next.answered.Add(w.answered.Load())
	return next
}

// run writes through one host, and through the next one when it is lost.
func (w *writers) run(ctx context.Context, i int) {
	for n := i; ctx.Err() == nil; n++ {
		host := w.hosts[n%len(w.hosts)]
		conn, err := host.Connect(ctx, customerOf(w.bed), databaseOf(w.bed))
		if err != nil {
			continue
		}
		for ctx.Err() == nil && !conn.IsClosed() {
			w.write(ctx, conn)
		}
		closeConn(conn)
	}
}

func (w *writers) write(ctx context.Context, conn *pgx.Conn) {
	w.sent.Add(1)
	_, err := conn.Exec(context.WithoutCancel(ctx), "UPDATE roster SET state = 'free' WHERE crew = 'crew-2'", pgx.QueryExecModeSimpleProtocol)
	if err == nil {
		w.answered.Add(1)
	}
}

// wait waits until more statements were answered.
func (w *writers) wait(t *testing.T, ctx context.Context) {
	t.Helper()
	goal := w.answered.Load() + chargedWrites
	err := testbed.Until(ctx, "writes are answered", func() bool { return w.answered.Load() >= goal })
	qt.Assert(t, err, qt.IsNil)
}

// checkReport compares the report with what callers were answered before it
// was asked for, and with what they had sent when it came.
func (w *writers) checkReport(t *testing.T, ctx context.Context, bed *testbed.Bed, host *testbed.Host) {
	t.Helper()
	answered := w.answered.Load()
	report, err := adminclient.New(host.AdminAddr(), testbed.OperatorToken).Usage(ctx, string(customerOf(bed)))
	qt.Assert(t, err, qt.IsNil)
	sent := w.sent.Load()
	t.Logf("%d answered, %d reported, %d sent; sources %d, without an answer %v", answered, report.Statements, sent, report.Sources, report.Unanswered)
	qt.Check(t, int64(report.Statements) >= answered, qt.IsTrue, qt.Commentf("%d answered, %d reported", answered, report.Statements))
	qt.Check(t, int64(report.Statements) <= sent, qt.IsTrue, qt.Commentf("%d sent, %d reported", sent, report.Statements))
}
