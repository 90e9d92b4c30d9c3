package integration

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// fault is what happens to a primary, and how it ends.
type fault struct {
	name  string
	begin func(context.Context, *testbed.Bed, *testbed.Target) error
	end   func(context.Context, *testbed.Bed, *testbed.Target) error
}

func heal(ctx context.Context, bed *testbed.Bed, _ *testbed.Target) error {
	return bed.Network.Heal(ctx)
}

var faults = []fault{
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
		name: "cut of the primary's domain",
		begin: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			return bed.Network.Cut(testbed.AcrossDomain(p.Domain))
		},
		end: heal,
	},
	{
		name: "cut of the primary from everybody",
		begin: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			return bed.Network.Cut(testbed.Touching(p.Name))
		},
		end: heal,
	},
	{
		name: "cut of the primary from its peers",
		begin: func(_ context.Context, bed *testbed.Bed, p *testbed.Target) error {
			return bed.Network.Cut(testbed.Between(p.Name, testbed.KindTarget))
		},
		end: heal,
	},
	{
		name: "one-way cut of the primary's answers",
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

// Writes land again within the bound, none is lost or doubled, no session
// reads below its floor, and the old primary comes back as a replica.
func TestFailover(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			plan := testbed.Association()
			plan.Groups = plan.Groups[:1]
			bed, ctx := start(t, plan)
			run := load.Start(bed, mixedLoad(bed))
			waitWrites(t, ctx, bed, run, 50)

			primary := bed.Primary(ctx, bed.Plan.Groups[0])
			at := time.Now()
			qt.Assert(t, f.begin(ctx, bed, primary), qt.IsNil)
			err := testbed.Until(ctx, "another target is primary", func() bool {
				now := bed.Primary(ctx, bed.Plan.Groups[0])
				return now != nil && now.ID != primary.ID
			})
			qt.Assert(t, err, qt.IsNil)
			waitWrites(t, ctx, bed, run, 20)
			gap := run.Timings.Gap(bed.Plan.Groups[0], at, time.Now())
			t.Logf("no write landed for %v", gap)
			qt.Check(t, gap < failoverBound, qt.IsTrue, qt.Commentf("%v", gap))

			qt.Assert(t, f.end(ctx, bed, primary), qt.IsNil)
			waitFollows(t, ctx, bed, primary.ID)
			waitWrites(t, ctx, bed, run, 50)
			check(t, ctx, run)
		})
	}
}
