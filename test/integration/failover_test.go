package integration

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// primaryFault is a fault of a group's primary: begin injects the fault, end
// removes it.
type primaryFault struct {
	name  string
	begin func(context.Context, *testbed.Bed, *testbed.Target) error
	end   func(context.Context, *testbed.Bed, *testbed.Target) error
}

func heal(ctx context.Context, bed *testbed.Bed, _ *testbed.Target) error {
	return bed.Network.Heal(ctx)
}

var primaryFaults = []primaryFault{
	{
		name:  "kill",
		begin: func(_ context.Context, _ *testbed.Bed, p *testbed.Target) error { return p.Kill() },
		end:   func(_ context.Context, _ *testbed.Bed, p *testbed.Target) error { return p.Start() },
	},
	{
		name:  "freeze",
		begin: func(_ context.Context, _ *testbed.Bed, p *testbed.Target) error { return p.Freeze() },
		end:   func(_ context.Context, _ *testbed.Bed, p *testbed.Target) error { return p.Thaw() },
	},
	{
		name: "partition of the primary's domain",
		begin: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			return bed.Network.Cut(testbed.AcrossDomain(p.Domain))
		},
		end: heal,
	},
	{
		name: "partition of the primary from all processes",
		begin: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			return bed.Network.Cut(testbed.Touching(p.Name))
		},
		end: heal,
	},
	{
		name: "partition of the primary from the other targets",
		begin: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			return bed.Network.Cut(testbed.Between(p.Name, testbed.KindTarget))
		},
		end: heal,
	},
	{
		name: "one-way partition that drops the primary's traffic",
		begin: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			return bed.Network.Each(testbed.Touching(p.Name), func(l *testbed.Link) error {
				if l.To.Name == p.Name {
					return l.Cut(testbed.Downstream)
				}
				return l.Cut(testbed.Upstream)
			})
		},
		end: heal,
	},
	{
		name: "kill while the platform is down",
		begin: func(ctx context.Context, bed *testbed.Bed, p *testbed.Target) error {
			if err := bed.Platform.Down(ctx); err != nil {
				return err
			}
			return p.Kill()
		},
		end: func(ctx context.Context, bed *testbed.Bed, p *testbed.Target) error {
			if err := bed.Platform.Up(ctx); err != nil {
				return err
			}
			return p.Start()
		},
	},
	{
		name: "kill of the primary and of a host in its domain",
		begin: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			for _, h := range bed.Hosts {
				if h.Domain == p.Domain {
					if err := h.Kill(); err != nil {
						return err
					}
					break
				}
			}
			return p.Kill()
		},
		end: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			for _, h := range bed.Hosts {
				if !h.Running() {
					if err := h.Start(); err != nil {
						return err
					}
				}
			}
			return p.Start()
		},
	},
}

// After each fault of a primary, writes succeed again within failoverBound, none
// is lost or runs twice, no session reads data older than its floor (the minimum
// position that it must see), and the old primary returns as a replica.
func TestFailover(t *testing.T) {
	for _, f := range primaryFaults {
		t.Run(f.name, func(t *testing.T) {
			plan := testbed.Association()
			plan.Groups = plan.Groups[:1]
			bed, ctx := start(t, plan)
			run := load.Start(bed, mixedLoad(bed))
			waitWrites(t, ctx, bed, run, 50)

			primary := bed.Primary(ctx, bed.Plan.Groups[0])
			faultTime := time.Now()
			qt.Assert(t, f.begin(ctx, bed, primary), qt.IsNil)
			err := testbed.Until(ctx, "another target is primary", func() bool {
				current := bed.Primary(ctx, bed.Plan.Groups[0])
				return current != nil && current.ID != primary.ID
			})
			qt.Assert(t, err, qt.IsNil)
			waitWrites(t, ctx, bed, run, 20)
			gap := run.Timings.Gap(bed.Plan.Groups[0], faultTime, time.Now())
			t.Logf("no write succeeded for %v", gap)
			qt.Check(t, gap < failoverBound, qt.IsTrue, qt.Commentf("%v", gap))

			qt.Assert(t, f.end(ctx, bed, primary), qt.IsNil)
			waitUntilReplica(t, ctx, bed, primary.ID)
			waitWrites(t, ctx, bed, run, 50)
			stopAndCheckLoad(t, ctx, run)
		})
	}
}
