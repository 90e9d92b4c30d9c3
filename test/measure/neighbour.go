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
	neighbourScenario = "flooding-neighbour"
	quietSessions     = 9
	floodCallers      = 120
)

// floodLimits are the flooding customer's limits where it has some.
var floodLimits = customer.Limits{Concurrent: 12, Queue: 12}

// neighbourReport is a quiet customer's latency in one case.
type neighbourReport struct {
	Scenario    string     `json:"scenario"`
	Deployment  string     `json:"deployment"`
	Case        string     `json:"case"`
	Seed        int64      `json:"seed"`
	Seconds     int        `json:"seconds"`
	QuietWrites latency    `json:"quiet_write_latency_ms"`
	QuietReads  latency    `json:"quiet_read_latency_ms"`
	QuietErrors int        `json:"quiet_errors"`
	Flood       floodCount `json:"flood"`
}

// runNeighbour measures a quiet customer alone, beside a flooding one without
// limits, and beside a flooding one with limits, in one group.
func runNeighbour(o options) error {
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
		report, err := measureNeighbour(o, c.flood, c.limits)
		if err != nil {
			return fmt.Errorf("%s, %s: %w", neighbourScenario, c.name, err)
		}
		report.Case = c.name
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	}
	return nil
}

func measureNeighbour(o options, withFlood bool, limits customer.Limits) (*neighbourReport, error) {
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
	count := flood.stop()
	return &neighbourReport{
		Scenario:    neighbourScenario,
		Deployment:  plan.Name,
		Seed:        o.Seed,
		Seconds:     o.Seconds,
		QuietWrites: latencyOf(quiet.Timings.Writes()),
		QuietReads:  latencyOf(quiet.Timings.Reads()),
		QuietErrors: sum(quiet.Timings.Errors()),
		Flood:       count,
	}, nil
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
