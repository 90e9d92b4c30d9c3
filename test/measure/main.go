// Command measure runs load and fault scenarios on the reference deployments and
// prints one JSON object per run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	defaultSeconds = 10
	startTimeout   = 60 * time.Second // for all processes of a deployment
)

func main() {
	options := options{Scenario: "all", Deployment: "both", Seed: 1, Seconds: defaultSeconds}
	flaggy.SetName("measure")
	flaggy.SetDescription("Measure the proxy under load and faults")
	flaggy.String(&options.Scenario, "s", "scenario", "all or one of: "+strings.Join(scenarioNames(), ", ")+", "+capacityScenario)
	flaggy.String(&options.Deployment, "d", "deployment", "association, caderno or both")
	flaggy.Int64(&options.Seed, "", "seed", "seed of the load and the faults")
	flaggy.Int(&options.Seconds, "", "seconds", "length of the load of each scenario")
	flaggy.Parse()
	defer testbed.RemovePrograms()
	if err := runScenarios(options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		testbed.RemovePrograms()
		os.Exit(1)
	}
}

// options holds the command-line options.
type options struct {
	Scenario   string
	Deployment string
	Seed       int64
	Seconds    int
}

func runScenarios(o options) error {
	if o.Scenario == capacityScenario {
		return measureCapacity(context.Background())
	}
	found := false
	for _, s := range scenarios {
		if o.Scenario != "all" && o.Scenario != s.name {
			continue
		}
		found = true
		if err := runOnDeployments(s, o); err != nil {
			return err
		}
	}
	for _, s := range standaloneScenarios {
		if o.Scenario != "all" && o.Scenario != s.name {
			continue
		}
		found = true
		if err := s.run(o); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("unknown scenario %q; available scenarios: %s", o.Scenario, strings.Join(scenarioNames(), ", "))
	}
	return nil
}

func runOnDeployments(s scenario, o options) error {
	for _, plan := range []testbed.Plan{testbed.Association(), testbed.Caderno()} {
		if o.Deployment != "both" && o.Deployment != plan.Name {
			continue
		}
		report, err := measure(context.Background(), s, plan, o)
		if err != nil {
			return fmt.Errorf("%s on %s: %w", s.name, plan.Name, err)
		}
		if s.name == steadyScenario {
			if report.Direct, err = measureDirect(context.Background(), plan); err != nil {
				return fmt.Errorf("comparison of direct and proxied statements on %s: %w", plan.Name, err)
			}
		}
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	}
	return nil
}
