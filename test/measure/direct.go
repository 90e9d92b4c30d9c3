package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const idleRest = 2 * time.Second // over which the idle hosts' processor time is read

// measureDirect compares statements straight at a target with the same ones
// through a host of the target's domain, on a deployment of its own without
// links or other load. Each target has one slot, so one host of the domain
// holds it and the other forwards.
func measureDirect(ctx context.Context, plan testbed.Plan) (*direct, error) {
	plan.NoLinks = true
	plan.Slots = 1
	plan.Groups = plan.Groups[:1]
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	bed, err := testbed.Start(startCtx, plan)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	primary := bed.Primary(ctx, plan.Groups[0])
	if primary == nil {
		return nil, errors.Newf("group %s has no primary", plan.Groups[0])
	}
	sleep(ctx, settleTime)
	return compareAll(ctx, bed, primary, replicaBeside(bed, primary))
}

// replicaBeside returns a replica of the primary's group.
func replicaBeside(bed *testbed.Bed, primary *testbed.Target) *testbed.Target {
	for _, id := range bed.Plan.TargetIDs(primary.Group) {
		if id != primary.ID {
			return bed.Targets[id]
		}
	}
	return nil
}

func compareAll(ctx context.Context, bed *testbed.Bed, primary, replica *testbed.Target) (*direct, error) {
	idle, err := idleRate(ctx, bed)
	if err != nil {
		return nil, err
	}
	var d direct
	comparisons := []struct {
		result  *comparison
		target  *testbed.Target
		forward bool
		sql     string
	}{
		{&d.ReadAtHolder, replica, false, directRead},
		{&d.ReadForwarded, replica, true, directRead},
		{&d.WriteAtHolder, primary, false, directWrite},
		{&d.WriteForwarded, primary, true, directWrite},
	}
	for _, c := range comparisons {
		host, err := hostBeside(ctx, bed, c.target, c.forward)
		if err != nil {
			return nil, err
		}
		p := path{bed: bed, target: c.target, host: host, sql: c.sql, idle: idle}
		if *c.result, err = p.compare(ctx); err != nil {
			return nil, errors.Wrapf(err, "%s through %s", c.target.ID, host.ID)
		}
	}
	d.ReadLatency = d.ReadAtHolder.Straight
	d.WriteLatency = d.WriteAtHolder.Straight
	d.AddedReadP50 = d.ReadAtHolder.AddedP50
	return &d, nil
}

// idleRate returns the processor time of all hosts per second without load.
func idleRate(ctx context.Context, bed *testbed.Bed) (float64, error) {
	before, err := hostCPU(bed)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	sleep(ctx, idleRest)
	after, err := hostCPU(bed)
	return (after - before) / time.Since(start).Seconds(), err
}

// hostBeside returns a host of the target's domain that holds the target's
// slot or, to forward, doesn't.
func hostBeside(ctx context.Context, bed *testbed.Bed, t *testbed.Target, forward bool) (*testbed.Host, error) {
	for _, h := range bed.Hosts {
		if h.Domain != t.Domain {
			continue
		}
		holds, err := holdsSlot(ctx, h, t.ID)
		if err != nil {
			return nil, err
		}
		if holds != forward {
			return h, nil
		}
	}
	return nil, errors.Newf("no such host in domain %s", t.Domain)
}

func holdsSlot(ctx context.Context, h *testbed.Host, id topology.TargetID) (bool, error) {
	slots, err := lockedSlots(ctx, h)
	if err != nil {
		return false, err
	}
	for _, s := range slots {
		if s.Target == id && s.Locked {
			return true, nil
		}
	}
	return false, nil
}
