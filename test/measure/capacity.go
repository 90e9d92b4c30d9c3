package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const capacityScenario = "capacity"

const (
	settleTime  = 5 * time.Second  // after the start, before idle costs are read
	idleTime    = 10 * time.Second // over which idle costs are read
	fullSlots   = 19               // held slots of a host at full size: 14,000 databases, 3 targets, 2 slots, 4,500 hosts
	controlCPU  = 0.028            // of a core a host may spend for control
	controlRate = 18 * 1024        // bytes a second a host may spend for control
)

// groupCounts are the sizes at which idle costs are read; with 6 hosts, 3
// targets and 2 slots a host holds as many slots as there are groups.
var groupCounts = []int{2, 6, 12, 19}

// idleCost is what one host spends on control while no caller is there.
type idleCost struct {
	SlotsPerHost  float64 `json:"slots_per_host"`
	CPU           float64 `json:"cpu_share_of_core"`
	PeerBytes     float64 `json:"peer_bytes_per_second"`
	PlatformCalls float64 `json:"platform_calls_per_second"`
	MemoryMB      float64 `json:"memory_mb"`
}

// fit is a line through measured points.
type fit struct {
	Fixed   float64 `json:"fixed"`
	PerSlot float64 `json:"per_slot"`
	AtFull  float64 `json:"at_full_size"`
	Limit   float64 `json:"limit,omitempty"`
}

// capacityReport holds the points and what follows for the full size.
type capacityReport struct {
	Scenario string     `json:"scenario"`
	Points   []idleCost `json:"points"`
	CPU      fit        `json:"cpu_share_of_core"`
	Bytes    fit        `json:"peer_bytes_per_second"`
	Memory   fit        `json:"memory_mb"`
}

func measureCapacity(ctx context.Context) error {
	var points []idleCost
	for _, n := range groupCounts {
		p, err := idleCostOf(ctx, n)
		if err != nil {
			return err
		}
		points = append(points, p)
	}
	column := func(f func(idleCost) float64) fit {
		x, y := make([]float64, len(points)), make([]float64, len(points))
		for i, p := range points {
			x[i], y[i] = p.SlotsPerHost, f(p)
		}
		return fitLine(x, y, fullSlots)
	}
	r := capacityReport{
		Scenario: capacityScenario,
		Points:   points,
		CPU:      column(func(c idleCost) float64 { return c.CPU }),
		Bytes:    column(func(c idleCost) float64 { return c.PeerBytes }),
		Memory:   column(func(c idleCost) float64 { return c.MemoryMB }),
	}
	r.CPU.Limit, r.Bytes.Limit = controlCPU, controlRate
	return json.NewEncoder(os.Stdout).Encode(r)
}

// idleCostOf starts a deployment of n groups and reads what its hosts spend.
func idleCostOf(ctx context.Context, n int) (idleCost, error) {
	plan := testbed.Association()
	plan.Name = fmt.Sprintf("capacity%d", n)
	plan.NoLinks = true
	plan.Groups = nil
	for i := range n {
		plan.Groups = append(plan.Groups, topology.GroupID(fmt.Sprintf("g%d", i+1)))
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	bed, err := testbed.Start(startCtx, plan)
	if err != nil {
		return idleCost{}, err
	}
	defer bed.Close()
	sleep(ctx, settleTime)
	return readIdle(ctx, bed)
}

func readIdle(ctx context.Context, bed *testbed.Bed) (idleCost, error) {
	before, err := totals(ctx, bed)
	if err != nil {
		return idleCost{}, err
	}
	start := time.Now()
	sleep(ctx, idleTime)
	after, err := totals(ctx, bed)
	if err != nil {
		return idleCost{}, err
	}
	per := time.Since(start).Seconds() * float64(len(bed.Hosts))
	targets, slots := len(bed.Targets), bed.Plan.Slots
	return idleCost{
		SlotsPerHost:  float64(targets*slots) / float64(len(bed.Hosts)),
		CPU:           (after.cpu - before.cpu) / per,
		PeerBytes:     (after.peerBytes - before.peerBytes) / per,
		PlatformCalls: (after.platformCalls - before.platformCalls) / per,
		MemoryMB:      after.memoryMB / float64(len(bed.Hosts)),
	}, nil
}

// sums are counters of all hosts together.
type sums struct {
	cpu           float64 // s
	peerBytes     float64
	platformCalls float64
	memoryMB      float64
}

func totals(ctx context.Context, bed *testbed.Bed) (sums, error) {
	var t sums
	for _, h := range bed.Hosts {
		cpu, err := h.CPU()
		if err != nil {
			return t, err
		}
		t.cpu += cpu
		memory, err := h.Memory()
		if err != nil {
			return t, err
		}
		t.memoryMB += float64(memory) / (1 << 20)
		samples, err := h.Metrics(ctx)
		if err != nil {
			return t, err
		}
		t.addSamples(samples)
	}
	return t, nil
}

func (t *sums) addSamples(samples []testbed.Sample) {
	for _, s := range samples {
		switch s.Name {
		case "nettlewalk_peer_received_bytes_total", "nettlewalk_peer_sent_bytes_total":
			t.peerBytes += s.Value
		case "nettlewalk_platform_calls_total":
			t.platformCalls += s.Value
		}
	}
}

// fitLine returns the least-squares line and its value at x = at.
func fitLine(x, y []float64, at float64) fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	fixed := (sy - slope*sx) / n
	return fit{Fixed: fixed, PerSlot: slope, AtFull: fixed + slope*at}
}
