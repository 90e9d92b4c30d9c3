package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

const (
	spreadScenario = "config-spread"
	spreadChanges  = 40
	spreadPause    = 100 * time.Millisecond // between changes
	spreadIdle     = 10 * time.Second       // in which calls and bytes of an idle fleet are counted
	spreadSettle   = 8 * time.Second        // until only relays watch
	spreadLimit    = 30 * time.Second       // for one change, then the run fails
	spreadOutage   = 3 * time.Second
	spreadTemplate = "booking"
	spreadCustomer = "association"
)

// spreadSizes are the fleets whose slope is measured.
var spreadSizes = []int{3, 8, 64}

// spreadReport is the result for one size.
type spreadReport struct {
	Scenario       string  `json:"scenario"`
	Faults         bool    `json:"faults"` // an outage, lost answers, a host that restarts during it
	Seed           int64   `json:"seed"`
	Hosts          int     `json:"hosts"`
	Changes        int     `json:"changes"`
	InForce        latency `json:"in_force_ms"` // from accepted to in force, for each change and host
	Reverts        int     `json:"reverts"`
	CallsPerChange float64 `json:"platform_calls_per_change"`
	CallsPerMinute float64 `json:"platform_calls_per_host_and_minute_idle"`
	BytesPerSecond float64 `json:"peer_bytes_per_host_and_second_idle"`
}

// runSpread measures how configuration spreads, on loopback without delays.
func runSpread(o options) error {
	for _, faults := range []bool{false, true} {
		for _, hosts := range spreadSizes {
			report, err := measureSpread(o, hosts, faults)
			if err != nil {
				return fmt.Errorf("%s with %d hosts: %w", spreadScenario, hosts, err)
			}
			if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureSpread(o options, hosts int, faults bool) (*spreadReport, error) {
	f, err := newSpreadFleet(hosts)
	if err != nil {
		return nil, err
	}
	defer f.close()
	report := &spreadReport{Scenario: spreadScenario, Faults: faults, Seed: o.Seed, Hosts: hosts, Changes: spreadChanges}
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(spreadSettle)
	f.countIdle(report)
	histogram := hdrhistogram.New(1, int64(spreadLimit/time.Microsecond), 3)
	f.platform.ResetCalls()
	for i := range spreadChanges {
		if faults {
			f.bringAbout(i)
		}
		if err := f.change(i, histogram); err != nil {
			return nil, err
		}
		time.Sleep(spreadPause)
	}
	report.CallsPerChange = float64(f.platform.Calls().Writes) / spreadChanges
	report.InForce = latencyOf(histogram)
	report.Reverts = f.reverts()
	return report, nil
}

// countIdle counts what an idle fleet costs.
func (f *spreadFleet) countIdle(report *spreadReport) {
	f.platform.ResetCalls()
	before := peerBytes()
	time.Sleep(spreadIdle)
	hosts := float64(len(f.nodes))
	report.CallsPerMinute = float64(f.platform.Calls().Total) / hosts / spreadIdle.Minutes()
	report.BytesPerSecond = float64(peerBytes()-before) / hosts / spreadIdle.Seconds()
}

// bringAbout lets answers get lost, the platform go down and a host restart
// while it is down.
func (f *spreadFleet) bringAbout(i int) {
	const every = 10
	switch i % every {
	case 2:
		f.platform.Change(func(x *standin.Faults) { x.DropAnswers = 1 })
	case 5:
		f.platform.Change(func(x *standin.Faults) { x.Outage = standin.OutageRefuse })
		f.restart((i / every) % len(f.nodes))
		time.Sleep(spreadOutage)
		f.platform.Change(func(x *standin.Faults) { x.Outage = standin.OutageNone })
	}
}

// change edits the template and records when each host has it in force.
func (f *spreadFleet) change(i int, histogram *hdrhistogram.Histogram) error {
	body := json.RawMessage(fmt.Sprintf(`{"parameters":{"queue":%d}}`, i+1))
	ctx, cancel := context.WithTimeout(context.Background(), spreadLimit)
	defer cancel()
	version, err := f.edit(ctx, body)
	if err != nil {
		return err
	}
	accepted := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	late := 0
	for _, n := range f.nodes {
		group.Go(func() {
			ok := n.waitVersion(ctx, version)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				late++
				return
			}
			_ = histogram.RecordValue(max(1, time.Since(accepted).Microseconds()))
		})
	}
	group.Wait()
	if late > 0 {
		return fmt.Errorf("change %d was not in force on %d hosts within %v", i, late, spreadLimit)
	}
	return nil
}

// edit makes one change through a client of its own, repeated until accepted.
func (f *spreadFleet) edit(ctx context.Context, body json.RawMessage) (uint64, error) {
	for {
		version := uint64(0)
		if current, ok := f.platform.Object(platform.KindTemplate, spreadTemplate); ok {
			version = current.Version
		}
		edited, err := f.client.Edit(ctx, platform.KindTemplate, spreadTemplate, version, body)
		if err == nil {
			return edited.Object.Version, nil
		}
		if ctx.Err() != nil {
			return 0, err
		}
	}
}

// waitVersion waits until the template's version is in force at the host.
func (n *spreadNode) waitVersion(ctx context.Context, version uint64) bool {
	for {
		changed := n.store.Changed()
		if c, ok := n.store.Customer(topology.CustomerID(spreadCustomer)); ok && c.TemplateVersion >= version {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
