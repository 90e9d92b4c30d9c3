package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/adminclient"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	configurationBound = 10 * time.Second // an accepted change is in force everywhere by then
	slowPlatform       = 300 * time.Millisecond
)

// operatorOf returns an operator's client of a host.
func operatorOf(h *testbed.Host) *adminclient.Client {
	return adminclient.New(h.AdminAddr(), testbed.OperatorToken)
}

// versions watches which version of a template each host has in force.
type versions struct {
	bed  *testbed.Bed
	name string

	mu       sync.Mutex
	highest  map[string]uint64 // by host process
	reverted []string
}

// inForce returns the version at a host, 0 if it doesn't tell, and notes a
// version lower than one that the process had before.
func (v *versions) inForce(ctx context.Context, h *testbed.Host) uint64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	object, err := operatorOf(h).Get(ctx, adminclient.Templates, v.name)
	if err != nil {
		return 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if object.InForce < v.highest[h.Name] {
		v.reverted = append(v.reverted, fmt.Sprintf("%s from %d to %d", h.Name, v.highest[h.Name], object.InForce))
	}
	v.highest[h.Name] = max(v.highest[h.Name], object.InForce)
	return object.InForce
}

// wait waits until the hosts have the version in force, within the promise.
func (v *versions) wait(t *testing.T, ctx context.Context, version uint64, hosts ...*testbed.Host) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, configurationBound)
	defer cancel()
	for _, h := range hosts {
		err := testbed.Until(ctx, fmt.Sprintf("version %d is in force at %s", version, h.Name), func() bool {
			return v.inForce(ctx, h) >= version
		})
		qt.Assert(t, err, qt.IsNil)
	}
}

// Edits of a template are in force at every host within the promised time, and
// no host ever goes back, while the platform is slow, loses answers and is
// down, a host starts without the platform, and a domain is cut off.
func TestConfigurationUnderFaults(t *testing.T) {
	plan := testbed.Small()
	plan.HostsPerDomain = 2
	bed, ctx := start(t, plan)
	v := &versions{bed: bed, name: string(customerOf(bed)), highest: map[string]uint64{}}
	operator := operatorOf(bed.Hosts[1])
	edit := func(rate int) uint64 {
		t.Helper()
		edited, err := operator.Set(ctx, adminclient.Templates, v.name, []string{fmt.Sprintf("parameters.rate=%d", rate)})
		qt.Assert(t, err, qt.IsNil)
		return edited.Version
	}

	v.wait(t, ctx, edit(1000), bed.Hosts...)

	qt.Assert(t, bed.Platform.Slow(ctx, slowPlatform), qt.IsNil)
	v.wait(t, ctx, edit(1001), bed.Hosts...)

	qt.Assert(t, bed.Platform.SetFaults(ctx, standin.Faults{DropAnswers: 1}), qt.IsNil)
	last := edit(1002)
	v.wait(t, ctx, last, bed.Hosts...)

	qt.Assert(t, bed.Platform.Down(ctx), qt.IsNil)
	restarted := bed.Hosts[3]
	qt.Assert(t, restarted.Kill(), qt.IsNil)
	qt.Assert(t, restarted.Start(), qt.IsNil)
	qt.Assert(t, restarted.WaitReady(ctx), qt.IsNil)
	v.wait(t, ctx, last, restarted)
	qt.Assert(t, bed.Platform.Up(ctx), qt.IsNil)

	cut := bed.Hosts[4].Domain
	qt.Assert(t, bed.Network.Cut(testbed.AcrossDomain(cut)), qt.IsNil)
	last = edit(1003)
	v.wait(t, ctx, last, bed.Hosts[:4]...)
	for _, h := range bed.Hosts[4:] {
		qt.Check(t, v.inForce(ctx, h) < last, qt.IsTrue, qt.Commentf("%s is cut off", h.Name))
	}
	qt.Assert(t, bed.Network.Heal(ctx), qt.IsNil)
	v.wait(t, ctx, last, bed.Hosts...)
	qt.Check(t, v.reverted, qt.HasLen, 0)
}
