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
	propagationScenario       = "config-spread"
	propagationChanges        = 40
	propagationChangeInterval = 100 * time.Millisecond // between two changes
	propagationIdleWindow     = 10 * time.Second       // over which the calls and bytes of an idle fleet are counted
	propagationSettleDelay    = 8 * time.Second        // after which only relays watch the platform
	propagationTimeout        = 30 * time.Second       // per change; the run fails after it
	propagationOutage         = 3 * time.Second
	propagationTemplate       = "booking"
	propagationCustomer       = "association"
)

// propagationFleetSizes lists the numbers of hosts at which propagation is measured,
// to show how the cost grows with the fleet.
var propagationFleetSizes = []int{3, 8, 64}

// propagationReport is the result for one fleet size.
type propagationReport struct {
	Scenario       string         `json:"scenario"`
	Faults         bool           `json:"faults"` // with platform outages, lost responses and host restarts during an outage
	Seed           int64          `json:"seed"`
	Hosts          int            `json:"hosts"`
	Changes        int            `json:"changes"`
	InForce        latencySummary `json:"in_force_ms"` // from acceptance by the platform until in force, per change and host
	Reverts        int            `json:"reverts"`
	CallsPerChange float64        `json:"platform_calls_per_change"`
	CallsPerMinute float64        `json:"platform_calls_per_host_and_minute_idle"`
	BytesPerSecond float64        `json:"peer_bytes_per_host_and_second_idle"`
}

// runPropagation measures how fast configuration changes propagate, on loopback
// without network delay.
func runPropagation(o options) error {
	for _, faults := range []bool{false, true} {
		for _, hosts := range propagationFleetSizes {
			report, err := measurePropagation(o, hosts, faults)
			if err != nil {
				return fmt.Errorf("%s with %d hosts: %w", propagationScenario, hosts, err)
			}
			if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
				return err
			}
		}
	}
	return nil
}

func measurePropagation(o options, hosts int, faults bool) (*propagationReport, error) {
	f, err := newPropagationFleet(hosts)
	if err != nil {
		return nil, err
	}
	defer f.close()
	report := &propagationReport{Scenario: propagationScenario, Faults: faults, Seed: o.Seed, Hosts: hosts, Changes: propagationChanges}
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(propagationSettleDelay)
	f.measureIdle(report)
	histogram := hdrhistogram.New(1, int64(propagationTimeout/time.Microsecond), 3)
	f.platform.ResetCalls()
	for i := range propagationChanges {
		if faults {
			f.injectFault(i)
		}
		if err := f.measureChange(i, histogram); err != nil {
			return nil, err
		}
		time.Sleep(propagationChangeInterval)
	}
	report.CallsPerChange = float64(f.platform.Calls().Writes) / propagationChanges
	report.InForce = summarizeLatency(histogram)
	report.Reverts = f.totalReverts()
	return report, nil
}

// measureIdle counts the platform calls and peer traffic of an idle fleet.
func (f *propagationFleet) measureIdle(report *propagationReport) {
	f.platform.ResetCalls()
	before := peerBytesSent()
	time.Sleep(propagationIdleWindow)
	hosts := float64(len(f.hosts))
	report.CallsPerMinute = float64(f.platform.Calls().Total) / hosts / propagationIdleWindow.Minutes()
	report.BytesPerSecond = float64(peerBytesSent()-before) / hosts / propagationIdleWindow.Seconds()
}

// injectFault injects the fault for change i, if any: a lost platform response, or a
// platform outage during which a host restarts.
func (f *propagationFleet) injectFault(i int) {
	const every = 10
	switch i % every {
	case 2:
		f.platform.UpdateFaults(func(faults *standin.Faults) { faults.DropResponses = 1 })
	case 5:
		f.platform.UpdateFaults(func(faults *standin.Faults) { faults.Outage = standin.OutageRefuse })
		f.restartHost((i / every) % len(f.hosts))
		time.Sleep(propagationOutage)
		f.platform.UpdateFaults(func(faults *standin.Faults) { faults.Outage = standin.OutageNone })
	}
}

// measureChange edits the template and records how long each host takes until the
// change is in force.
func (f *propagationFleet) measureChange(i int, histogram *hdrhistogram.Histogram) error {
	body := json.RawMessage(fmt.Sprintf(`{"parameters":{"queue":%d}}`, i+1))
	ctx, cancel := context.WithTimeout(context.Background(), propagationTimeout)
	defer cancel()
	version, err := f.editTemplate(ctx, body)
	if err != nil {
		return err
	}
	accepted := time.Now()
	var mu sync.Mutex
	var waiters sync.WaitGroup
	late := 0
	for _, h := range f.hosts {
		waiters.Go(func() {
			ok := h.waitVersion(ctx, version)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				late++
				return
			}
			_ = histogram.RecordValue(max(1, time.Since(accepted).Microseconds()))
		})
	}
	waiters.Wait()
	if late > 0 {
		return fmt.Errorf("change %d did not take effect on %d hosts within %v", i, late, propagationTimeout)
	}
	return nil
}

// editTemplate writes the template through the operator's client, retrying until the
// platform accepts the change, and returns the new version.
func (f *propagationFleet) editTemplate(ctx context.Context, body json.RawMessage) (uint64, error) {
	for {
		version := uint64(0)
		if current, ok := f.platform.Object(platform.KindTemplate, propagationTemplate); ok {
			version = current.Version
		}
		result, err := f.client.Edit(ctx, platform.KindTemplate, propagationTemplate, version, body)
		if err == nil {
			return result.Object.Version, nil
		}
		if ctx.Err() != nil {
			return 0, err
		}
	}
}

// waitVersion waits until the host has the template's version in force, and reports
// whether this happened before ctx ended.
func (h *propagationHost) waitVersion(ctx context.Context, version uint64) bool {
	for {
		changed := h.store.Changed()
		if c, ok := h.store.Customer(topology.CustomerID(propagationCustomer)); ok && c.TemplateVersion >= version {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
