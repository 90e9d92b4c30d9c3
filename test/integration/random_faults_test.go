package integration

import (
	"context"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const faultRounds = 8 // rounds of two faults each

// Pairs of simultaneous faults, drawn by a seeded generator, occur under load.
// Every acknowledged write is present exactly once, every read sees at least its
// session's floor, and no write that was reported as not run is present.
func TestSeededRandomFaults(t *testing.T) {
	bed, ctx := start(t, testbed.Association())
	run := load.Start(bed, mixedLoad(bed))
	rng := rand.New(rand.NewSource(seed))
	for range faultRounds {
		waitWrites(t, ctx, bed, run, 20)
		first, second := rng.Intn(len(primaryFaults)), rng.Intn(len(primaryFaults))
		g1 := bed.Plan.Groups[rng.Intn(len(bed.Plan.Groups))]
		g2 := bed.Plan.Groups[rng.Intn(len(bed.Plan.Groups))]
		t.Logf("%s on %s, then %s on %s", primaryFaults[first].name, g1, primaryFaults[second].name, g2)
		endFirst := beginFault(t, ctx, bed, primaryFaults[first], g1)
		endSecond := beginFault(t, ctx, bed, primaryFaults[second], g2)
		waitWritesInAnyGroup(t, ctx, run, 20)
		endFirst()
		endSecond()
	}
	waitWrites(t, ctx, bed, run, 50)
	stopAndCheckLoad(t, ctx, run)
	checkConnectionLimit(t, ctx, bed)
}

// beginFault injects a fault of the group's primary and returns the function that
// ends the fault. It does nothing if no primary is running.
func beginFault(t *testing.T, ctx context.Context, bed *testbed.Bed, f primaryFault, g topology.GroupID) func() {
	t.Helper()
	primary := bed.Primary(ctx, g)
	if primary == nil || !primary.Running() {
		return func() {}
	}
	qt.Assert(t, f.begin(ctx, bed, primary), qt.IsNil)
	return func() { qt.Assert(t, f.end(ctx, bed, primary), qt.IsNil) }
}

// waitWritesInAnyGroup waits until n more writes have succeeded, in whichever
// groups.
func waitWritesInAnyGroup(t *testing.T, ctx context.Context, run *load.Run, n int) {
	t.Helper()
	before := run.Timings.Writes().TotalCount()
	err := testbed.Until(ctx, "writes succeed in some group", func() bool {
		return run.Timings.Writes().TotalCount() >= before+int64(n)
	})
	qt.Assert(t, err, qt.IsNil)
}

// checkConnectionLimit fails the test if a target ever had more connections than
// its limit.
func checkConnectionLimit(t *testing.T, ctx context.Context, bed *testbed.Bed) {
	t.Helper()
	for id, target := range bed.Targets {
		state, err := target.State(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, state.MaxConnections <= bed.Plan.Connections, qt.IsTrue, qt.Commentf("%s: %d", id, state.MaxConnections))
	}
}
