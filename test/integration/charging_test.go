package integration

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// statementsAtTargets returns the number of statements that hosts have run at all
// targets.
func statementsAtTargets(t *testing.T, ctx context.Context, bed *testbed.Bed) uint64 {
	t.Helper()
	sum := uint64(0)
	for _, target := range bed.Targets {
		state, err := target.State(ctx)
		qt.Assert(t, err, qt.IsNil)
		sum += state.HostStatements()
	}
	return sum
}

// A customer is charged for the statements that the targets counted for it, also
// after hosts are killed under load: hosts that hold connections to targets,
// entry hosts that accept callers, and a host that does both. Statements in
// flight during a kill may be missing, but none may be charged twice.
func TestChargesAreCompleteAfterHostKills(t *testing.T) {
	plan := testbed.Association()
	plan.Groups = plan.Groups[:1]
	bed, ctx := start(t, plan)
	before := statementsAtTargets(t, ctx, bed)
	run := load.Start(bed, mixedLoad(bed))
	const kills = 2
	for _, h := range bed.Hosts[:kills] {
		waitWrites(t, ctx, bed, run, 60)
		qt.Assert(t, h.Kill(), qt.IsNil)
		qt.Assert(t, h.MarkGone(ctx), qt.IsNil)
		waitWrites(t, ctx, bed, run, 60)
		qt.Assert(t, h.Restart(ctx), qt.IsNil)
		qt.Assert(t, h.WaitReady(ctx), qt.IsNil)
	}
	run.Stop()
	executed := statementsAtTargets(t, ctx, bed) - before
	inFlight := uint64(kills * (mixedLoad(bed).Sessions + mixedLoad(bed).Viewers))
	var charged uint64
	err := testbed.Until(ctx, "the usage report is complete", func() bool {
		report, err := operatorOf(bed.Hosts[5]).Usage(ctx, string(customerOf(bed)))
		if err != nil {
			return false
		}
		charged = report.Statements
		return charged+inFlight >= executed
	})
	qt.Assert(t, err, qt.IsNil, qt.Commentf("charged %d, ran %d", charged, executed))
	t.Logf("%d statements charged, %d run", charged, executed)
	qt.Assert(t, charged <= executed, qt.IsTrue, qt.Commentf("charged %d, ran %d", charged, executed))
	stopAndCheckLoad(t, ctx, run)
}
