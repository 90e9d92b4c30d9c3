package main

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// scenario is a load and what goes wrong under it.
type scenario struct {
	name string
	plan func(*testbed.Plan)
	load func(*load.Config)
	act  func(ctx context.Context, s *stage) error
}

const (
	replicaLag   = 200 * time.Millisecond
	freezeTime   = 3 * time.Second
	outageTime   = 3 * time.Second
	overloadRate = time.Millisecond // mean pause of a session
)

const steadyScenario = "steady" // after which direct paths are compared

var scenarios = []scenario{
	{name: steadyScenario, act: quiet},
	{name: "lag", plan: func(p *testbed.Plan) { p.ApplyLag = replicaLag }, load: waitForLag, act: quiet},
	{name: "lag-received", plan: func(p *testbed.Plan) { p.ReceiveLag = replicaLag }, act: quiet},
	{name: "lag-received-term", plan: acknowledgeByTerm, act: quiet},
	{name: "kill-primary-term", plan: acknowledgeByTerm, act: killPrimary},
	{name: "kill-primary", act: killPrimary},
	{name: "freeze-primary", act: freezePrimary},
	{name: "cut-domain", act: cutDomain},
	{name: "cut-primary-from-peers", act: cutPrimaryFromPeers},
	{name: "silent-connections", act: silentConnections},
	{name: "platform-down", act: platformDown},
	{name: "rolling-restart", act: rollingRestart},
	{name: "overload", load: overload, act: quiet},
	{name: "mixed", act: mixed},
}

// ownFleets are the measurements that start fleets of their own.
var ownFleets = []struct {
	name string
	run  func(options) error
}{
	{spreadScenario, runSpread},
	{neighbourScenario, runNeighbour},
}

func scenarioNames() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.name
	}
	for _, s := range ownFleets {
		names = append(names, s.name)
	}
	return names
}

// waitForLag lets sessions read later than the lag after their last write.
func waitForLag(c *load.Config) { c.PastLag = replicaLag + replicaLag/2 }

// acknowledgeByTerm lets replicas receive late and commits be answered without them.
func acknowledgeByTerm(p *testbed.Plan) {
	p.ReceiveLag = replicaLag
	for i := range p.Customers {
		p.Customers[i].Acknowledge = customer.AckTerm
	}
}

func overload(c *load.Config) {
	c.Sessions *= 6
	c.Viewers *= 6
	c.Pause = overloadRate
}

func quiet(ctx context.Context, s *stage) error {
	s.rest(ctx)
	return nil
}

func killPrimary(ctx context.Context, s *stage) error {
	return s.eachGroup(func(g topology.GroupID) error { return killPrimaryOf(ctx, s, g) })
}

func killPrimaryOf(ctx context.Context, s *stage, g topology.GroupID) error {
	primary := s.bed.Primary(ctx, g)
	if err := s.measureGap(ctx, g, primary.Kill); err != nil {
		return err
	}
	if err := primary.Start(); err != nil {
		return err
	}
	return s.waitReplica(ctx, primary.ID)
}

func freezePrimary(ctx context.Context, s *stage) error {
	return s.eachGroup(func(g topology.GroupID) error { return freezePrimaryOf(ctx, s, g) })
}

func freezePrimaryOf(ctx context.Context, s *stage, g topology.GroupID) error {
	primary := s.bed.Primary(ctx, g)
	frozen := time.Now()
	if err := s.measureGap(ctx, g, primary.Freeze); err != nil {
		return err
	}
	sleep(ctx, time.Until(frozen.Add(freezeTime)))
	if err := primary.Thaw(); err != nil {
		return err
	}
	return s.waitReplica(ctx, primary.ID)
}

// cutDomain cuts the domain of the first group's primary off from the others
// and the platform.
func cutDomain(ctx context.Context, s *stage) error {
	return s.eachGroup(func(g topology.GroupID) error {
		primary := s.bed.Primary(ctx, g)
		return cutAndHeal(ctx, s, primary, testbed.AcrossDomain(primary.Domain))
	})
}

// cutPrimaryFromPeers leaves the primary in reach of hosts, but not of its replicas.
func cutPrimaryFromPeers(ctx context.Context, s *stage) error {
	return s.eachGroup(func(g topology.GroupID) error {
		primary := s.bed.Primary(ctx, g)
		return cutAndHeal(ctx, s, primary, testbed.Between(primary.Name, testbed.KindTarget))
	})
}

func cutAndHeal(ctx context.Context, s *stage, primary *testbed.Target, match testbed.Match) error {
	if err := s.measureGap(ctx, primary.Group, func() error { return s.bed.Network.Cut(match) }); err != nil {
		return err
	}
	if err := s.bed.Network.Heal(ctx); err != nil {
		return err
	}
	return s.waitReplica(ctx, primary.ID)
}

// silentConnections lets every open connection to targets go silent.
func silentConnections(ctx context.Context, s *stage) error {
	for first := true; first || s.more(); first = false {
		at := time.Now()
		if err := s.bed.Network.Silence(testbed.OfKinds(testbed.KindHost, testbed.KindTarget)); err != nil {
			return err
		}
		sleep(ctx, outageTime)
		for _, g := range s.bed.Plan.Groups {
			s.gaps = append(s.gaps, s.run.Timings.Gap(g, at, time.Now()))
		}
	}
	return nil
}

func platformDown(ctx context.Context, s *stage) error {
	if err := s.bed.Platform.Down(ctx); err != nil {
		return err
	}
	if err := s.eachGroup(func(g topology.GroupID) error { return killPrimaryOf(ctx, s, g) }); err != nil {
		return err
	}
	return s.bed.Platform.Up(ctx)
}

// rollingRestart stops and starts one host after the other.
func rollingRestart(ctx context.Context, s *stage) error {
	for _, h := range s.bed.Hosts {
		if err := restartHost(ctx, h); err != nil {
			return err
		}
	}
	s.rest(ctx)
	return nil
}

func restartHost(ctx context.Context, h *testbed.Host) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := h.MarkLeaving(ctx); err != nil {
		return err
	}
	if err := h.Stop(ctx); err != nil {
		return err
	}
	if err := h.MarkGone(ctx); err != nil {
		return err
	}
	if err := h.Restart(ctx); err != nil {
		return err
	}
	return h.WaitReady(ctx)
}

// mixed brings about faults of every kind in an order that the seed decides.
func mixed(ctx context.Context, s *stage) error {
	faults := []func() error{
		func() error { return killPrimaryOf(ctx, s, s.anyGroup()) },
		func() error { return freezePrimaryOf(ctx, s, s.anyGroup()) },
		func() error {
			primary := s.bed.Primary(ctx, s.anyGroup())
			return cutAndHeal(ctx, s, primary, testbed.AcrossDomain(primary.Domain))
		},
		func() error { return s.bed.Network.Silence(testbed.OfKinds(testbed.KindHost, testbed.KindTarget)) },
		func() error { return restartHost(ctx, s.anyHost()) },
		func() error { return s.killHost(ctx) },
	}
	for first := true; first || s.more(); first = false {
		for _, i := range s.rng.Perm(len(faults)) {
			if err := faults[i](); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *stage) anyGroup() topology.GroupID {
	return s.bed.Plan.Groups[s.rng.Intn(len(s.bed.Plan.Groups))]
}

func (s *stage) anyHost() *testbed.Host { return s.bed.Hosts[s.rng.Intn(len(s.bed.Hosts))] }

// killHost kills a host, takes it off the list as the platform would, and
// starts it again.
func (s *stage) killHost(ctx context.Context) error {
	h := s.anyHost()
	if err := h.Kill(); err != nil {
		return err
	}
	if err := h.MarkGone(ctx); err != nil {
		return err
	}
	if err := h.Restart(ctx); err != nil {
		return err
	}
	return h.WaitReady(ctx)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
