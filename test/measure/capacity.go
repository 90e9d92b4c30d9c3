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
	settleDelay              = 5 * time.Second  // after startup, before idle costs are measured
	idleWindow               = 10 * time.Second // over which idle costs are measured
	fullSizeSlotsPerHost     = 19               // slots held per host at full size: 14,000 databases with 3 targets and 2 slots each on 4,500 hosts
	maxControlCPU            = 0.028            // cores per host for control traffic
	maxControlBytesPerSecond = 18 * 1024        // per host for control traffic
)

// groupCounts lists the deployment sizes at which idle costs are measured. With 6
// hosts, 3 targets per group and 2 slots per target, each host holds as many slots
// as there are groups.
var groupCounts = []int{2, 6, 12, 19}

// idleCost is the resource usage of one host without callers, averaged over all
// hosts.
type idleCost struct {
	SlotsPerHost  float64 `json:"slots_per_host"`
	CPU           float64 `json:"cpu_share_of_core"`
	PeerBytes     float64 `json:"peer_bytes_per_second"`
	PlatformCalls float64 `json:"platform_calls_per_second"`
	MemoryMB      float64 `json:"memory_mb"`
}

// linearFit is a line fitted to the measured points, with its value at full size.
type linearFit struct {
	Fixed      float64 `json:"fixed"`
	PerSlot    float64 `json:"per_slot"`
	AtFullSize float64 `json:"at_full_size"`
	Limit      float64 `json:"limit,omitempty"`
}

// capacityReport holds the measured points and their extrapolation to full size.
type capacityReport struct {
	Scenario string     `json:"scenario"`
	Points   []idleCost `json:"points"`
	CPU      linearFit  `json:"cpu_share_of_core"`
	Bytes    linearFit  `json:"peer_bytes_per_second"`
	Memory   linearFit  `json:"memory_mb"`
}

// measureCapacity measures idle costs at each of groupCounts and prints a
// capacityReport.
func measureCapacity(ctx context.Context) error {
	var points []idleCost
	for _, groupCount := range groupCounts {
		point, err := measureIdleCost(ctx, groupCount)
		if err != nil {
			return err
		}
		points = append(points, point)
	}
	fitColumn := func(value func(idleCost) float64) linearFit {
		x, y := make([]float64, len(points)), make([]float64, len(points))
		for i, p := range points {
			x[i], y[i] = p.SlotsPerHost, value(p)
		}
		return fitLine(x, y, fullSizeSlotsPerHost)
	}
	r := capacityReport{
		Scenario: capacityScenario,
		Points:   points,
		CPU:      fitColumn(func(c idleCost) float64 { return c.CPU }),
		Bytes:    fitColumn(func(c idleCost) float64 { return c.PeerBytes }),
		Memory:   fitColumn(func(c idleCost) float64 { return c.MemoryMB }),
	}
	r.CPU.Limit, r.Bytes.Limit = maxControlCPU, maxControlBytesPerSecond
	return json.NewEncoder(os.Stdout).Encode(r)
}

// measureIdleCost starts a deployment with groupCount groups and measures the idle
// cost of its hosts.
func measureIdleCost(ctx context.Context, groupCount int) (idleCost, error) {
	plan := testbed.Association()
	plan.Name = fmt.Sprintf("capacity%d", groupCount)
	plan.NoLinks = true
	plan.Groups = nil
	for i := range groupCount {
		plan.Groups = append(plan.Groups, topology.GroupID(fmt.Sprintf("g%d", i+1)))
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	bed, err := testbed.Start(startCtx, plan)
	if err != nil {
		return idleCost{}, err
	}
	defer bed.Close()
	sleep(ctx, settleDelay)
	return readIdleCost(ctx, bed)
}

func readIdleCost(ctx context.Context, bed *testbed.Bed) (idleCost, error) {
	before, err := sumOverHosts(ctx, bed)
	if err != nil {
		return idleCost{}, err
	}
	start := time.Now()
	sleep(ctx, idleWindow)
	after, err := sumOverHosts(ctx, bed)
	if err != nil {
		return idleCost{}, err
	}
	hostSeconds := time.Since(start).Seconds() * float64(len(bed.Hosts))
	targets, slots := len(bed.Targets), bed.Plan.Slots
	return idleCost{
		SlotsPerHost:  float64(targets*slots) / float64(len(bed.Hosts)),
		CPU:           (after.cpu - before.cpu) / hostSeconds,
		PeerBytes:     (after.peerBytes - before.peerBytes) / hostSeconds,
		PlatformCalls: (after.platformCalls - before.platformCalls) / hostSeconds,
		MemoryMB:      after.memoryMB / float64(len(bed.Hosts)),
	}, nil
}

// hostTotals holds sums over all hosts.
type hostTotals struct {
	cpu           float64 // seconds
	peerBytes     float64
	platformCalls float64
	memoryMB      float64
}

func sumOverHosts(ctx context.Context, bed *testbed.Bed) (hostTotals, error) {
	var t hostTotals
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

func (t *hostTotals) addSamples(samples []testbed.Sample) {
	for _, s := range samples {
		switch s.Name {
		case "nettlewalk_peer_received_bytes_total", "nettlewalk_peer_sent_bytes_total":
			t.peerBytes += s.Value
		case "nettlewalk_platform_calls_total":
			t.platformCalls += s.Value
		}
	}
}

// fitLine returns the least-squares line through the points and its value at x = at.
func fitLine(x, y []float64, at float64) linearFit {
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
	return linearFit{Fixed: fixed, PerSlot: slope, AtFullSize: fixed + slope*at}
}
