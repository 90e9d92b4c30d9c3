package integration

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/test/history"
	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// Every host is stopped and started in turn under load. No statement in flight is
// interrupted: no outcome is unknown, and every host stops within its time limit.
func TestRollingRestartInterruptsNoStatement(t *testing.T) {
	plan := testbed.Association()
	plan.Groups = plan.Groups[:1]
	bed, ctx := start(t, plan)
	run := load.Start(bed, mixedLoad(bed))
	waitWrites(t, ctx, bed, run, 50)
	for _, h := range bed.Hosts {
		qt.Assert(t, h.MarkLeaving(ctx), qt.IsNil)
		qt.Assert(t, h.Stop(ctx), qt.IsNil, qt.Commentf("%s", h.Log()))
		qt.Assert(t, h.MarkGone(ctx), qt.IsNil)
		qt.Assert(t, h.Restart(ctx), qt.IsNil)
		qt.Assert(t, h.WaitReady(ctx), qt.IsNil)
		waitWrites(t, ctx, bed, run, 20)
	}
	run.Stop()
	for _, w := range run.Log.Writes() {
		qt.Check(t, w.Outcome, qt.Not(qt.Equals), history.Unknown, qt.Commentf("%+v", w))
	}
	stopAndCheckLoad(t, ctx, run)
}

// A transaction that is open when a host is stopped can still finish, whether the
// stopped host accepted the caller or holds the connection to the target.
func TestOpenTransactionFinishesDuringHostStop(t *testing.T) {
	bed, ctx := start(t, testbed.Small())
	for i, h := range bed.Hosts {
		conn := connect(t, ctx, bed, (i+1)%len(bed.Hosts))
		tx, err := conn.Begin(ctx)
		qt.Assert(t, err, qt.IsNil)
		id := "open-during-stop-of-" + h.Name
		_, err = tx.Exec(ctx, "INSERT INTO bookings (id) VALUES ($1)", id)
		qt.Assert(t, err, qt.IsNil)
		stopped := make(chan error, 1)
		go func() { stopped <- h.Stop(ctx) }()
		err = testbed.Until(ctx, h.Name+" is not ready", func() bool { return !h.Ready(ctx) })
		qt.Assert(t, err, qt.IsNil)
		_, err = tx.Exec(ctx, "UPDATE bookings SET crew = 'crew-2' WHERE id = $1", id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, tx.Commit(ctx), qt.IsNil)
		qt.Assert(t, <-stopped, qt.IsNil)
		qt.Check(t, countBookingsAtPrimary(t, ctx, bed, id), qt.Equals, 1)
		qt.Assert(t, h.Start(), qt.IsNil)
		qt.Assert(t, h.WaitReady(ctx), qt.IsNil)
	}
}

// A target that is marked as leaving gets no new statements after a few seconds.
// If the target is the primary, another target is promoted and no acknowledged
// write is lost.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	plan := testbed.Association()
	plan.Groups = plan.Groups[:1]
	bed, ctx := start(t, plan)
	run := load.Start(bed, mixedLoad(bed))
	waitWrites(t, ctx, bed, run, 50)
	for _, id := range bed.Plan.TargetIDs(bed.Plan.Groups[0])[:2] {
		markedAt := time.Now()
		qt.Assert(t, bed.MarkTargetLeaving(ctx, id, true), qt.IsNil)
		err := testbed.Until(ctx, string(id)+" gets no new statements", func() bool { return isIdle(ctx, bed.Targets[id], 300*time.Millisecond) })
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, time.Since(markedAt) < handoverBound, qt.IsTrue, qt.Commentf("%v", time.Since(markedAt)))
		waitWrites(t, ctx, bed, run, 20)
		qt.Assert(t, bed.MarkTargetLeaving(ctx, id, false), qt.IsNil)
	}
	stopAndCheckLoad(t, ctx, run)
}

// idle reports whether the target ran no statement of a host during the period.
func isIdle(ctx context.Context, target *testbed.Target, period time.Duration) bool {
	before, err := target.State(ctx)
	if err != nil {
		return false
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	after, err := target.State(ctx)
	return err == nil && after.HostStatements() == before.HostStatements()
}
