package main

import (
	"context"
	"math/rand"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	recoveryTimeout = 15 * time.Second // longer than the failover limit of 10 s, so that violations are measured
	recoveryWrites  = 20               // acknowledged writes after which a group counts as recovered
	warmup          = time.Second      // load before the first fault
)

// experiment is a deployment under load, into which a scenario injects faults.
type experiment struct {
	bed  *testbed.Bed
	run  *load.Run
	rng  *rand.Rand
	end  time.Time // when the load ends
	gaps []time.Duration
	// extra holds additional values for the report.
	extra map[string]any
}

// timeLeft reports whether the load still runs, so that another fault can be
// injected.
func (e *experiment) timeLeft() bool { return time.Now().Before(e.end) }

// waitForEnd waits until the end of the load.
func (e *experiment) waitForEnd(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(e.end)):
	}
}

// forEachGroup calls f for each group in turn and repeats this until the end of the
// load. It calls f at least once for each group.
func (e *experiment) forEachGroup(f func(topology.GroupID) error) error {
	for first := true; first || e.timeLeft(); first = false {
		for _, g := range e.bed.Plan.Groups {
			if err := f(g); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureGap injects a fault, waits until the group acknowledges writes again, and
// records the longest interval without an acknowledged write.
func (e *experiment) measureGap(ctx context.Context, group topology.GroupID, injectFault func() error) error {
	faultTime := time.Now()
	if err := injectFault(); err != nil {
		return err
	}
	e.waitForRecovery(ctx, group, faultTime)
	e.gaps = append(e.gaps, e.run.Timings.Gap(group, faultTime, time.Now()))
	return nil
}

// waitForRecovery waits until the group has acknowledged enough writes after a gap
// that is long enough for a failover. It gives up after the recovery timeout.
func (e *experiment) waitForRecovery(ctx context.Context, group topology.GroupID, faultTime time.Time) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	_ = testbed.Until(ctx, "the group acknowledges writes after the failover", func() bool {
		gap := e.run.Timings.Gap(group, faultTime, time.Now())
		return gap > minFailoverGap && e.run.Timings.LandedSince(group, faultTime.Add(gap)) >= recoveryWrites
	})
}

const minFailoverGap = 100 * time.Millisecond // shorter gaps are not failovers

// waitForReplica waits until the target follows the group's primary in the primary's
// term.
func (e *experiment) waitForReplica(ctx context.Context, id topology.TargetID) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	t := e.bed.Targets[id]
	return testbed.Until(ctx, string(id)+" follows the primary", func() bool {
		primary := e.bed.Primary(ctx, t.Group)
		if primary == nil || primary.ID == id {
			return false
		}
		state, err := t.State(ctx)
		return err == nil && state.Primary == primary.ID && state.Term == termOrZero(ctx, primary)
	})
}

// termOrZero returns the target's term, or zero if the target does not respond.
func termOrZero(ctx context.Context, t *testbed.Target) uint64 {
	state, err := t.State(ctx)
	if err != nil {
		return 0
	}
	return state.Term
}
