package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	noisyNeighbourScenario = "flooding-neighbour"
	quietSessions          = 9
	floodCallers           = 120
)

// floodLimits are the limits of the flooding customer in the case with limits.
var floodLimits = customer.Limits{Concurrent: 12, Queue: 12}

// noisyNeighbourReport holds the latency of the quiet customer in one case.
type noisyNeighbourReport struct {
	Scenario    string         `json:"scenario"`
	Deployment  string         `json:"deployment"`
	Case        string         `json:"case"`
	Seed        int64          `json:"seed"`
	Seconds     int            `json:"seconds"`
	QuietWrites latencySummary `json:"quiet_write_latency_ms"`
	QuietReads  latencySummary `json:"quiet_read_latency_ms"`
	QuietErrors int            `json:"quiet_errors"`
	Flood       floodCounts    `json:"flood"`
}

// runNoisyNeighbour measures a quiet customer alone and next to a flooding customer
// in the same group, with and without limits on the flooding customer.
func runNoisyNeighbour(o options) error {
	unlimited := testbed.DefaultCustomer("flood").Limits
	cases := []struct {
		name   string
		flood  bool
		limits customer.Limits
	}{
		{"alone", false, unlimited},
		{"flood without limits", true, unlimited},
		{"flood with limits", true, floodLimits},
	}
	for _, c := range cases {
		report, err := measureNoisyNeighbour(o, c.flood, c.limits)
		if err != nil {
			return fmt.Errorf("%s, %s: %w", noisyNeighbourScenario, c.name, err)
		}
		report.Case = c.name
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	}
	return nil
}

func measureNoisyNeighbour(o options, withFlood bool, limits customer.Limits) (*noisyNeighbourReport, error) {
	plan := testbed.Association()
	plan.Groups = plan.Groups[:1]
	flooding := testbed.DefaultCustomer("flood")
	flooding.Limits = limits
	plan.Customers = []testbed.Customer{testbed.DefaultCustomer("quiet"), flooding}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	bed, err := testbed.Start(ctx, plan)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	quietConfig := loadConfig(plan, o.Seed)
	quietConfig.Sessions, quietConfig.Viewers = quietSessions, 0
	callers := 0
	if withFlood {
		callers = floodCallers
	}
	flood := startFlood(bed, "flood", string(plan.Groups[0]), callers)
	time.Sleep(warmup)
	quiet := load.Start(bed, quietConfig)
	time.Sleep(time.Duration(o.Seconds) * time.Second)
	quiet.Stop()
	counts := flood.stop()
	return &noisyNeighbourReport{
		Scenario:    noisyNeighbourScenario,
		Deployment:  plan.Name,
		Seed:        o.Seed,
		Seconds:     o.Seconds,
		QuietWrites: summarizeLatency(quiet.Timings.Writes()),
		QuietReads:  summarizeLatency(quiet.Timings.Reads()),
		QuietErrors: sumCounts(quiet.Timings.Errors()),
		Flood:       counts,
	}, nil
}

func sumCounts(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
