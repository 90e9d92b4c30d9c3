package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const idleCPUWindow = 2 * time.Second // over which the CPU time of idle hosts is measured

// measureDirect compares statements sent directly to a target with the same
// statements sent through a host in the target's failure domain. It starts a
// separate deployment without links or other load. Each target has one slot, so
// one host of the domain holds the slot and the other host forwards.
func measureDirect(ctx context.Context, plan testbed.Plan) (*directReport, error) {
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
	sleep(ctx, settleDelay)
	return compareAll(ctx, bed, primary, replicaOf(bed, primary))
}

// replicaOf returns a replica in the primary's group.
func replicaOf(bed *testbed.Bed, primary *testbed.Target) *testbed.Target {
	for _, id := range bed.Plan.TargetIDs(primary.Group) {
		if id != primary.ID {
			return bed.Targets[id]
		}
	}
	return nil
}

func compareAll(ctx context.Context, bed *testbed.Bed, primary, replica *testbed.Target) (*directReport, error) {
	idleCPURate, err := measureIdleCPURate(ctx, bed)
	if err != nil {
		return nil, err
	}
	var report directReport
	comparisons := []struct {
		result    *comparison
		target    *testbed.Target
		forwarded bool
		sql       string
	}{
		{&report.ReadAtHolder, replica, false, directRead},
		{&report.ReadForwarded, replica, true, directRead},
		{&report.WriteAtHolder, primary, false, directWrite},
		{&report.WriteForwarded, primary, true, directWrite},
	}
	for _, c := range comparisons {
		host, err := hostNear(ctx, bed, c.target, c.forwarded)
		if err != nil {
			return nil, err
		}
		p := comparisonPath{bed: bed, target: c.target, host: host, sql: c.sql, idleCPURate: idleCPURate}
		if *c.result, err = p.compare(ctx); err != nil {
			return nil, errors.Wrapf(err, "%s through %s", c.target.ID, host.ID)
		}
	}
	report.ReadLatency = report.ReadAtHolder.Direct
	report.WriteLatency = report.WriteAtHolder.Direct
	report.AddedReadP50 = report.ReadAtHolder.AddedP50
	return &report, nil
}

// measureIdleCPURate returns the CPU seconds that all hosts use per second without
// load.
func measureIdleCPURate(ctx context.Context, bed *testbed.Bed) (float64, error) {
	before, err := totalHostCPU(bed)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	sleep(ctx, idleCPUWindow)
	after, err := totalHostCPU(bed)
	return (after - before) / time.Since(start).Seconds(), err
}

// hostNear returns a host in the target's failure domain that holds the target's
// slot or, if forwarded is set, one that does not hold the slot.
func hostNear(ctx context.Context, bed *testbed.Bed, t *testbed.Target, forwarded bool) (*testbed.Host, error) {
	for _, h := range bed.Hosts {
		if h.Domain != t.Domain {
			continue
		}
		holdsTargetSlot, err := holdsSlot(ctx, h, t.ID)
		if err != nil {
			return nil, err
		}
		if holdsTargetSlot != forwarded {
			return h, nil
		}
	}
	return nil, errors.Newf("no host in domain %s holds or forwards to the slot as required", t.Domain)
}

func holdsSlot(ctx context.Context, h *testbed.Host, id topology.TargetID) (bool, error) {
	slots, err := dumpedSlots(ctx, h)
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
