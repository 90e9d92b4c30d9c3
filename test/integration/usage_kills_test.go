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
	writerCount        = 12
	writesBetweenKills = 300 // statements answered between two kills
)

// The usage report counts every answered statement and none twice, after the kill
// of a host that holds target connections, of an entry host, and of both at once.
func TestUsageIsWholeAfterKills(t *testing.T) {
	plan := testbed.Association()
	plan.Groups = plan.Groups[:1]
	bed, ctx := start(t, plan)
	holders, entryHosts := bed.Hosts[:2], bed.Hosts[2:] // the first two hosts are in the primary's domain
	reportHost := entryHosts[3]
	w := startWriters(ctx, bed, entryHosts)
	defer func() { w.stop() }()

	w.waitAnswered(t, ctx)
	killAndRemove(t, ctx, holders[0])
	w.waitAnswered(t, ctx)
	w.checkReport(t, ctx, bed, reportHost)
	restartEmpty(t, ctx, holders[0])

	w.waitAnswered(t, ctx)
	killAndRemove(t, ctx, entryHosts[0])
	w.waitAnswered(t, ctx)
	w.checkReport(t, ctx, bed, reportHost)
	restartEmpty(t, ctx, entryHosts[0])

	w = w.continueAt(ctx, entryHosts[2:3]) // no other host meters these statements
	w.waitAnswered(t, ctx)
	w.stop()
	waitReadingsReplicated(t, ctx, holders[1], entryHosts[2])
	killAndRemove(t, ctx, holders[1], entryHosts[2])
	w.checkReport(t, ctx, bed, reportHost)
	w = w.continueAt(ctx, entryHosts[:2])
	w.waitAnswered(t, ctx)
	w.stop()
	w.checkReport(t, ctx, bed, reportHost)
}

// waitReadingsReplicated waits until other hosts have copies of all usage readings
// of the given hosts. Readings without a copy are lost if the hosts are killed.
func waitReadingsReplicated(t *testing.T, ctx context.Context, hosts ...*testbed.Host) {
	t.Helper()
	for _, host := range hosts {
		err := testbed.Until(ctx, host.Name+" has replicated its usage readings", func() bool {
			raw, err := adminclient.New(host.AdminAddr(), testbed.OperatorToken).Dump(ctx, "usage")
			var dump struct{ Usage usage.Dump }
			return err == nil && json.Unmarshal(raw, &dump) == nil && dump.Usage.Unreplicated == 0
		})
		qt.Assert(t, err, qt.IsNil)
	}
}

// restartEmpty starts a killed host again as a new process without any state.
func restartEmpty(t *testing.T, ctx context.Context, host *testbed.Host) {
	t.Helper()
	qt.Assert(t, host.Restart(ctx), qt.IsNil)
	qt.Assert(t, host.WaitReady(ctx), qt.IsNil)
}

// killAndRemove kills hosts and then removes them from the platform's list.
func killAndRemove(t *testing.T, ctx context.Context, hosts ...*testbed.Host) {
	t.Helper()
	for _, host := range hosts {
		qt.Assert(t, host.Kill(), qt.IsNil)
	}
	for _, host := range hosts {
		qt.Assert(t, host.MarkGone(ctx), qt.IsNil)
	}
}

// writers are callers that write in a loop through the given hosts.
type writers struct {
	bed      *testbed.Bed
	hosts    []*testbed.Host
	sent     atomic.Int64 // statements sent, whether or not they were answered
	answered atomic.Int64
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

func startWriters(ctx context.Context, bed *testbed.Bed, hosts []*testbed.Host) *writers {
	ctx, cancel := context.WithCancel(ctx)
	w := &writers{bed: bed, hosts: hosts, cancel: cancel}
	for i := range writerCount {
		w.wg.Go(func() { w.run(ctx, i) })
	}
	return w
}

func (w *writers) stop() {
	w.cancel()
	w.wg.Wait()
}

// continueAt stops the writers and starts new ones at other hosts. The counts
// carry over to the new writers.
func (w *writers) continueAt(ctx context.Context, hosts []*testbed.Host) *writers {
	w.stop()
	next := startWriters(ctx, w.bed, hosts)
	next.sent.Add(w.sent.Load())
	next.answered.Add(w.answered.Load())
	return next
}

// run writes through one host, and through the next one after the connection is
// lost.
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

// waitAnswered waits until writesBetweenKills more statements have been answered.
func (w *writers) waitAnswered(t *testing.T, ctx context.Context) {
	t.Helper()
	goal := w.answered.Load() + writesBetweenKills
	err := testbed.Until(ctx, "writes are answered", func() bool { return w.answered.Load() >= goal })
	qt.Assert(t, err, qt.IsNil)
}

// checkReport fails the test if the usage report of a host counts fewer statements
// than were answered before the request or more than were sent when the report
// arrived.
func (w *writers) checkReport(t *testing.T, ctx context.Context, bed *testbed.Bed, host *testbed.Host) {
	t.Helper()
	answered := w.answered.Load()
	report, err := adminclient.New(host.AdminAddr(), testbed.OperatorToken).Usage(ctx, string(customerOf(bed)))
	qt.Assert(t, err, qt.IsNil)
	sent := w.sent.Load()
	t.Logf("%d answered, %d reported, %d sent; %d sources, no answer from %v", answered, report.Statements, sent, report.Sources, report.Unanswered)
	qt.Check(t, int64(report.Statements) >= answered, qt.IsTrue, qt.Commentf("%d answered, %d reported", answered, report.Statements))
	qt.Check(t, int64(report.Statements) <= sent, qt.IsTrue, qt.Commentf("%d sent, %d reported", sent, report.Statements))
}
