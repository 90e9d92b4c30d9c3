// Command quickstart starts a platform stand-in, one group of three targets in
// three failure domains and three hosts on loopback, books a crew through one
// host, reads it through another, kills the primary and writes again.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	applyLag     = 300 * time.Millisecond // of replicas, so that they are seen to lag
	startTimeout = 90 * time.Second       // includes building the programs
	showTimeout  = 60 * time.Second
)

func main() {
	hold := false
	flaggy.SetName("quickstart")
	flaggy.SetDescription("Show the proxy at work on loopback")
	flaggy.Bool(&hold, "", "hold", "keep everything up until Ctrl-C")
	flaggy.Parse()
	if err := run(hold); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(hold bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	defer testbed.RemovePrograms()
	bed, err := start(ctx)
	if err != nil {
		return err
	}
	defer bed.Close()
	printAddresses(bed)
	if err := show(ctx, bed); err != nil {
		return err
	}
	if hold {
		printOperators(bed)
		<-ctx.Done()
	}
	return nil
}

func start(ctx context.Context) (*testbed.Bed, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	plan := testbed.Small()
	plan.ApplyLag = applyLag
	return testbed.Start(ctx, plan)
}

// printOperators tells how to use the operators' commands on what was started.
func printOperators(bed *testbed.Bed) {
	fmt.Println("\nEverything stays up until Ctrl-C. Operators' commands, in another terminal:")
	fmt.Printf("  export NETTLEWALK_TOKEN=%s\n", testbed.OperatorToken)
	fmt.Printf("  go run ./cmd/nettlewalk status --address %s\n", bed.Hosts[0].AdminAddr())
	fmt.Printf("  go run ./cmd/nettlewalk customer list --address %s\n", bed.Hosts[1].AdminAddr())
}

func printAddresses(bed *testbed.Bed) {
	plan := bed.Plan
	fmt.Println("Hosts, each with the whole service (any PostgreSQL client can connect):")
	for _, h := range bed.Hosts {
		fmt.Printf("  %s in %-10s psql '%s'\n", h.ID, h.Domain, h.URL(plan.Customers[0].ID, string(plan.Groups[0])))
	}
	fmt.Println("Targets:")
	for _, id := range plan.TargetIDs(plan.Groups[0]) {
		t := bed.Targets[id]
		fmt.Printf("  %s in %-10s %s\n", t.ID, t.Domain, t.Addr())
	}
}
