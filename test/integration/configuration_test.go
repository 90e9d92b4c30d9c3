package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
	"nettlewalk.example/nettlewalk/internal/result"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	inForceBound = 10 * time.Second // an accepted change is in force everywhere by then
	slowPlatform = 500 * time.Millisecond
)

// An accepted edit is in force on every host within the bound and never
// reverts: with a slow platform, lost answers, racing operators, an outage in
// which a host starts, and a failure domain that was cut off.
func TestAcceptedConfigurationStaysInForce(t *testing.T) {
	plan := testbed.Association()
	plan.Groups = plan.Groups[:1]
	bed, ctx := start(t, plan)
	c := &configuration{t: t, ctx: ctx, bed: bed, template: string(customerOf(bed))}
	c.waitInForce(1, bed.Hosts)
	stop := c.watchReverts()
	defer stop()

	c.waitInForce(c.edit(0), bed.Hosts)

	qt.Assert(t, bed.Platform.Slow(ctx, slowPlatform), qt.IsNil)
	c.waitInForce(c.edit(1), bed.Hosts)

	qt.Assert(t, bed.Platform.SetFaults(ctx, standin.Faults{DropAnswers: 1}), qt.IsNil)
	c.waitInForce(c.edit(2), bed.Hosts)

	c.waitInForce(c.race(), bed.Hosts)
	c.outage()
	c.cut()
}

// configuration edits one template through the hosts' administration API.
type configuration struct {
	t        *testing.T
	ctx      context.Context
	bed      *testbed.Bed
	template string

	mu      sync.Mutex
	queue   int // makes each edit another one
	reverts []string
}

func (c *configuration) client(host *testbed.Host) *adminclient.Client {
	return adminclient.New(host.AdminAddr(), testbed.OperatorToken)
}

// change is a parameter that no edit before had.
func (c *configuration) change() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue++
	return []string{fmt.Sprintf("parameters.queue=%d", 2000+c.queue)}
}

// edit makes one edit through a host and returns its version.
func (c *configuration) edit(host int) uint64 {
	c.t.Helper()
	edited, err := c.client(c.bed.Hosts[host]).Set(c.ctx, adminclient.Templates, c.template, c.change())
	qt.Assert(c.t, err, qt.IsNil)
	return edited.Version
}

// race lets every host's operator edit the same version; one of them wins.
func (c *configuration) race() uint64 {
	c.t.Helper()
	object, err := c.client(c.bed.Hosts[0]).Get(c.ctx, adminclient.Templates, c.template)
	qt.Assert(c.t, err, qt.IsNil)
	versions := make([]uint64, len(c.bed.Hosts))
	errs := make([]error, len(c.bed.Hosts))
	var group sync.WaitGroup
	for i, host := range c.bed.Hosts {
		value, err := adminclient.Assign(object.Value, c.change())
		qt.Assert(c.t, err, qt.IsNil)
		group.Go(func() { versions[i], errs[i] = c.put(host, object.Version, value) })
	}
	group.Wait()
	won := uint64(0)
	for i, err := range errs {
		if err == nil {
			qt.Check(c.t, won, qt.Equals, uint64(0), qt.Commentf("two winners"))
			won = versions[i]
			continue
		}
		qt.Check(c.t, codeOf(err), qt.Equals, result.VersionConflict, qt.Commentf("%v", err))
	}
	qt.Assert(c.t, won > 0, qt.IsTrue)
	return won
}

func (c *configuration) put(host *testbed.Host, version uint64, value json.RawMessage) (uint64, error) {
	edited, err := c.client(host).Put(c.ctx, adminclient.Templates, c.template, version, value)
	if err != nil {
		return 0, err
	}
	return edited.Version, nil
}

func codeOf(err error) result.Code {
	var failure *admin.Failure
	if errors.As(err, &failure) {
		return failure.Code
	}
	return 0
}

// outage kills a host while the platform is down and starts it again: it gets
// the configuration from its peers. An edit meanwhile doesn't claim to be done.
func (c *configuration) outage() {
	c.t.Helper()
	version := c.edit(3)
	c.waitInForce(version, c.bed.Hosts)
	qt.Assert(c.t, c.bed.Platform.Down(c.ctx), qt.IsNil)
	host := c.bed.Hosts[0]
	qt.Assert(c.t, host.Kill(), qt.IsNil)
	qt.Assert(c.t, host.Start(), qt.IsNil)
	qt.Assert(c.t, host.WaitReady(c.ctx), qt.IsNil)
	c.waitInForce(version, c.bed.Hosts)
	_, err := c.client(c.bed.Hosts[1]).Set(c.ctx, adminclient.Templates, c.template, c.change())
	qt.Check(c.t, err, qt.IsNotNil)
	qt.Assert(c.t, c.bed.Platform.Up(c.ctx), qt.IsNil)
	c.waitInForce(c.editUntilDone(1), c.bed.Hosts)
}

// editUntilDone edits again after a refusal or conflict: an edit of unknown
// outcome may still take effect when the platform comes back.
func (c *configuration) editUntilDone(host int) uint64 {
	c.t.Helper()
	var version uint64
	err := testbed.Until(c.ctx, "an edit is accepted", func() bool {
		edited, err := c.client(c.bed.Hosts[host]).Set(c.ctx, adminclient.Templates, c.template, c.change())
		if err == nil {
			version = edited.Version
		}
		return err == nil
	})
	qt.Assert(c.t, err, qt.IsNil)
	return version
}

// cut cuts a failure domain off from the others and from the platform.
func (c *configuration) cut() {
	c.t.Helper()
	away := c.bed.Plan.Domains[2]
	var here, there []*testbed.Host
	for _, host := range c.bed.Hosts {
		if host.Domain == away {
			there = append(there, host)
		} else {
			here = append(here, host)
		}
	}
	before := c.edit(0)
	c.waitInForce(before, c.bed.Hosts)
	qt.Assert(c.t, c.bed.Network.Cut(testbed.AcrossDomain(away)), qt.IsNil)
	after := c.edit(0)
	c.waitInForce(after, here)
	for _, host := range there {
		qt.Check(c.t, c.inForce(host), qt.Equals, before, qt.Commentf("%s is cut off", host.Name))
	}
	qt.Assert(c.t, c.bed.Network.Heal(c.ctx), qt.IsNil)
	c.waitInForce(after, c.bed.Hosts)
}

// inForce returns the version of the template in force at a host, 0 without an answer.
func (c *configuration) inForce(host *testbed.Host) uint64 {
	object, err := c.client(host).Get(c.ctx, adminclient.Templates, c.template)
	if err != nil {
		return 0
	}
	return object.InForce
}

// waitInForce waits until a version or a later one is in force at the hosts.
func (c *configuration) waitInForce(version uint64, hosts []*testbed.Host) {
	c.t.Helper()
	accepted := time.Now()
	for _, host := range hosts {
		err := testbed.Until(c.ctx, fmt.Sprintf("version %d is in force at %s", version, host.Name), func() bool {
			return c.inForce(host) >= version
		})
		qt.Assert(c.t, err, qt.IsNil)
	}
	took := time.Since(accepted)
	qt.Check(c.t, took < inForceBound, qt.IsTrue, qt.Commentf("version %d took %v", version, took))
	c.t.Logf("version %d in force on %d hosts after %v", version, len(hosts), took.Round(time.Millisecond))
}

// watchReverts looks at every host all the time; the returned function ends it
// and fails the test if a version in force fell.
func (c *configuration) watchReverts() (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	var group sync.WaitGroup
	for _, host := range c.bed.Hosts {
		group.Go(func() {
			last := uint64(0)
			for ctx.Err() == nil {
				version := c.inForce(host)
				if version == 0 {
					continue // the host is starting or ended
				}
				if version < last {
					c.mu.Lock()
					c.reverts = append(c.reverts, fmt.Sprintf("%s from %d to %d", host.Name, last, version))
					c.mu.Unlock()
				}
				last = version
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
		qt.Check(c.t, c.reverts, qt.HasLen, 0)
	}
}
