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
	recoveryTimeout = 15 * time.Second // past the promise of 10 s, so that a miss is seen
	settledWrites   = 20               // landed writes after which a group counts as recovered
	warmup          = time.Second      // of load before the first fault
)

// stage is a deployment under load, on which a scenario acts.
type stage struct {
	bed  *testbed.Bed
	run  *load.Run
	rng  *rand.Rand
	end  time.Time // of the load
	gaps []time.Duration
	// extra is printed with the report.
	extra map[string]any
}

// more tells whether there is time for another fault.
func (s *stage) more() bool { return time.Now().Before(s.end) }

// rest waits until the load's end.
func (s *stage) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(s.end)):
	}
}

// eachGroup calls f for one group after the other until the load's end, at
// least once for each.
func (s *stage) eachGroup(f func(topology.GroupID) error) error {
	for first := true; first || s.more(); first = false {
		for _, g := range s.bed.Plan.Groups {
			if err := f(g); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureGap brings about a fault and waits until writes of the group land
// again, then records the longest time without a landed write.
func (s *stage) measureGap(ctx context.Context, group topology.GroupID, fault func() error) error {
	at := time.Now()
	if err := fault(); err != nil {
		return err
	}
	s.waitSettled(ctx, group, at)
	s.gaps = append(s.gaps, s.run.Timings.Gap(group, at, time.Now()))
	return nil
}

// waitSettled waits for landed writes under a primary other than the one at the
// fault, or until the recovery timeout.
func (s *stage) waitSettled(ctx context.Context, group topology.GroupID, fault time.Time) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	_ = testbed.Until(ctx, "a new primary takes writes", func() bool {
		gap := s.run.Timings.Gap(group, fault, time.Now())
		return gap > minGap && s.run.Timings.LandedSince(group, fault.Add(gap)) >= settledWrites
	})
}

const minGap = 100 * time.Millisecond // shorter ones are no change of primary

// waitReplica waits until the target follows the group's primary and has caught up.
func (s *stage) waitReplica(ctx context.Context, id topology.TargetID) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	t := s.bed.Targets[id]
	return testbed.Until(ctx, string(id)+" follows the primary", func() bool {
		primary := s.bed.Primary(ctx, t.Group)
		if primary == nil || primary.ID == id {
			return false
		}
		state, err := t.State(ctx)
		return err == nil && state.Primary == primary.ID && state.Term == mustTerm(ctx, primary)
	})
}

func mustTerm(ctx context.Context, t *testbed.Target) uint64 {
	state, err := t.State(ctx)
	if err != nil {
		return 0
	}
	return state.Term
}
