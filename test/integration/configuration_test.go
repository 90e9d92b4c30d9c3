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
	configurationBound = 10 * time.Second // limit for an accepted change to take effect on all hosts
	platformDelay      = 300 * time.Millisecond
)

// operatorOf returns an admin client for the host with the operator's token.
func operatorOf(h *testbed.Host) *adminclient.Client {
	return adminclient.New(h.AdminAddr(), testbed.OperatorToken)
}

// versionWatcher tracks which version of a template is in effect on each host.
type versionWatcher struct {
	bed  *testbed.Bed
	name string

	mu          sync.Mutex
	highest     map[string]uint64 // highest version seen, by host name
	regressions []string
}

// inForce returns the version in effect on a host, or 0 if the host doesn't
// answer. It records a regression if the host had a higher version before.
func (v *versionWatcher) inForce(ctx context.Context, h *testbed.Host) uint64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	object, err := operatorOf(h).Get(ctx, adminclient.Templates, v.name)
	if err != nil {
		return 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if object.InForce < v.highest[h.Name] {
		v.regressions = append(v.regressions, fmt.Sprintf("%s from %d to %d", h.Name, v.highest[h.Name], object.InForce))
	}
	v.highest[h.Name] = max(v.highest[h.Name], object.InForce)
	return object.InForce
}

// waitInForce waits until the version is in effect on the hosts, and fails the
// test after configurationBound.
func (v *versionWatcher) waitInForce(t *testing.T, ctx context.Context, version uint64, hosts ...*testbed.Host) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, configurationBound)
	defer cancel()
	for _, h := range hosts {
		err := testbed.Until(ctx, fmt.Sprintf("version %d is in effect on %s", version, h.Name), func() bool {
			return v.inForce(ctx, h) >= version
		})
		qt.Assert(t, err, qt.IsNil)
	}
}

// Edits of a template take effect on every host within the time limit, and no
// host ever returns to an older version. Meanwhile the platform is slow, drops
// answers and is down, a host starts without the platform, and a failure domain
// is partitioned.
func TestConfigurationUnderFaults(t *testing.T) {
	plan := testbed.Small()
	plan.HostsPerDomain = 2
	bed, ctx := start(t, plan)
	v := &versionWatcher{bed: bed, name: string(customerOf(bed)), highest: map[string]uint64{}}
	operator := operatorOf(bed.Hosts[1])
	edit := func(rate int) uint64 {
		t.Helper()
		edited, err := operator.Set(ctx, adminclient.Templates, v.name, []string{fmt.Sprintf("parameters.rate=%d", rate)})
		qt.Assert(t, err, qt.IsNil)
		return edited.Version
	}

	v.waitInForce(t, ctx, edit(1000), bed.Hosts...)

	qt.Assert(t, bed.Platform.Slow(ctx, platformDelay), qt.IsNil)
	v.waitInForce(t, ctx, edit(1001), bed.Hosts...)

	qt.Assert(t, bed.Platform.SetFaults(ctx, standin.Faults{DropResponses: 1}), qt.IsNil)
	last := edit(1002)
	v.waitInForce(t, ctx, last, bed.Hosts...)

	qt.Assert(t, bed.Platform.Down(ctx), qt.IsNil)
	restarted := bed.Hosts[3]
	qt.Assert(t, restarted.Kill(), qt.IsNil)
	qt.Assert(t, restarted.Start(), qt.IsNil)
	qt.Assert(t, restarted.WaitReady(ctx), qt.IsNil)
	v.waitInForce(t, ctx, last, restarted)
	qt.Assert(t, bed.Platform.Up(ctx), qt.IsNil)

	isolated := bed.Hosts[4].Domain
	qt.Assert(t, bed.Network.Cut(testbed.AcrossDomain(isolated)), qt.IsNil)
	last = edit(1003)
	v.waitInForce(t, ctx, last, bed.Hosts[:4]...)
	for _, h := range bed.Hosts[4:] {
		qt.Check(t, v.inForce(ctx, h) < last, qt.IsTrue, qt.Commentf("%s is partitioned", h.Name))
	}
	qt.Assert(t, bed.Network.Heal(ctx), qt.IsNil)
	v.waitInForce(t, ctx, last, bed.Hosts...)
	qt.Check(t, v.regressions, qt.HasLen, 0)
}
