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

const mixRounds = 8 // faults in one run

// Faults in an order that the seed decides, two at once, under load: every
// acknowledged write is present exactly once, every read at or past its
// session's floor, and nothing that was said to be not run is there.
func TestSeededMixOfFaults(t *testing.T) {
	bed, ctx := start(t, testbed.Association())
	run := load.Start(bed, mixedLoad(bed))
	rng := rand.New(rand.NewSource(seed))
	for range mixRounds {
		waitWrites(t, ctx, bed, run, 20)
		first, second := rng.Intn(len(faults)), rng.Intn(len(faults))
		g1 := bed.Plan.Groups[rng.Intn(len(bed.Plan.Groups))]
		g2 := bed.Plan.Groups[rng.Intn(len(bed.Plan.Groups))]
		t.Logf("%s on %s, then %s on %s", faults[first].name, g1, faults[second].name, g2)
		endFirst := beginFault(t, ctx, bed, faults[first], g1)
		endSecond := beginFault(t, ctx, bed, faults[second], g2)
		waitSomeWrites(t, ctx, run, 20)
		endFirst()
		endSecond()
	}
	waitWrites(t, ctx, bed, run, 50)
	check(t, ctx, run)
	limitKept(t, ctx, bed)
}

// beginFault brings about a fault at the group's primary; the result ends it.
func beginFault(t *testing.T, ctx context.Context, bed *testbed.Bed, f fault, g topology.GroupID) func() {
	t.Helper()
	primary := bed.Primary(ctx, g)
	if primary == nil || !primary.Running() {
		return func() {}
	}
	qt.Assert(t, f.begin(ctx, bed, primary), qt.IsNil)
	return func() { qt.Assert(t, f.end(ctx, bed, primary), qt.IsNil) }
}

// waitSomeWrites waits until n writes have landed in any group.
func waitSomeWrites(t *testing.T, ctx context.Context, run *load.Run, n int) {
	t.Helper()
	before := run.Timings.Writes().TotalCount()
	err := testbed.Until(ctx, "some writes land", func() bool {
		return run.Timings.Writes().TotalCount() >= before+int64(n)
	})
	qt.Assert(t, err, qt.IsNil)
}

// limitKept fails the test if a target ever had more connections than it accepts.
func limitKept(t *testing.T, ctx context.Context, bed *testbed.Bed) {
	t.Helper()
	for id, target := range bed.Targets {
		state, err := target.State(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, state.MaxConnections <= bed.Plan.Connections, qt.IsTrue, qt.Commentf("%s: %d", id, state.MaxConnections))
	}
}
