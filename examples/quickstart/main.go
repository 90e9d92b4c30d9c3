// Command quickstart demonstrates the proxy on loopback. It starts a platform
// stand-in, one group of three targets in three failure domains, and three hosts.
// It inserts a booking through one host, reads it through another, kills the
// primary and writes again.
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
	applyLag     = 300 * time.Millisecond // makes the replicas lag visibly
	startTimeout = 90 * time.Second       // includes building the programs
	demoTimeout  = 60 * time.Second
)

func main() {
	hold := false
	flaggy.SetName("quickstart")
	flaggy.SetDescription("Demonstrate the proxy on loopback")
	flaggy.Bool(&hold, "", "hold", "keep all processes running until Ctrl-C")
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
	bed, err := startTestbed(ctx)
	if err != nil {
		return err
	}
	defer bed.Close()
	printAddresses(bed)
	if err := runDemo(ctx, bed); err != nil {
		return err
	}
	if hold {
		printOperatorCommands(bed)
		<-ctx.Done()
	}
	return nil
}

func startTestbed(ctx context.Context) (*testbed.Bed, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	plan := testbed.Small()
	plan.ApplyLag = applyLag
	return testbed.Start(ctx, plan)
}

// printOperatorCommands prints examples of operator commands for the running hosts.
func printOperatorCommands(bed *testbed.Bed) {
	fmt.Println("\nAll processes run until Ctrl-C. Operator commands to try in another terminal:")
	fmt.Printf("  export NETTLEWALK_TOKEN=%s\n", testbed.OperatorToken)
	fmt.Printf("  go run ./cmd/nettlewalk status --address %s\n", bed.Hosts[0].AdminAddr())
	fmt.Printf("  go run ./cmd/nettlewalk customer list --address %s\n", bed.Hosts[1].AdminAddr())
}

func printAddresses(bed *testbed.Bed) {
	plan := bed.Plan
	fmt.Println("Hosts, each serving all databases (any PostgreSQL client can connect):")
	for _, h := range bed.Hosts {
		fmt.Printf("  %s in %-10s psql '%s'\n", h.ID, h.Domain, h.URL(plan.Customers[0].ID, string(plan.Groups[0])))
	}
	fmt.Println("Targets:")
	for _, id := range plan.TargetIDs(plan.Groups[0]) {
		t := bed.Targets[id]
		fmt.Printf("  %s in %-10s %s\n", t.ID, t.Domain, t.Addr())
	}
}
