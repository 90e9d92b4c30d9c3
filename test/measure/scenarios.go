package main

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// scenario is a deployment, a load, and the faults to inject during the load. The
// functions plan and load, if set, modify the defaults.
type scenario struct {
	name   string
	plan   func(*testbed.Plan)
	load   func(*load.Config)
	inject func(ctx context.Context, e *experiment) error
}

const (
	replicaLag        = 200 * time.Millisecond
	freezeDuration    = 3 * time.Second
	silenceDuration   = 3 * time.Second
	overloadMeanPause = time.Millisecond // mean think time of a session
)

const steadyScenario = "steady" // also compares direct and proxied statements

var scenarios = []scenario{
	{name: steadyScenario, inject: noFaults},
	{name: "lag", plan: func(p *testbed.Plan) { p.ApplyLag = replicaLag }, load: readAfterLag, inject: noFaults},
	{name: "lag-received", plan: func(p *testbed.Plan) { p.ReceiveLag = replicaLag }, inject: noFaults},
	{name: "lag-received-term", plan: acknowledgeByTerm, inject: noFaults},
	{name: "kill-primary-term", plan: acknowledgeByTerm, inject: killPrimary},
	{name: "kill-primary", inject: killPrimary},
	{name: "freeze-primary", inject: freezePrimary},
	{name: "cut-domain", inject: cutDomain},
	{name: "cut-primary-from-peers", inject: cutPrimaryFromPeers},
	{name: "silent-connections", inject: silentConnections},
	{name: "platform-down", inject: platformDown},
	{name: "rolling-restart", inject: rollingRestart},
	{name: "overload", load: overload, inject: noFaults},
	{name: "mixed", inject: mixed},
}

// standaloneScenarios are the scenarios that start their own fleets.
var standaloneScenarios = []struct {
	name string
	run  func(options) error
}{
	{propagationScenario, runPropagation},
	{noisyNeighbourScenario, runNoisyNeighbour},
}

func scenarioNames() []string {
	names := make([]string, len(scenarios))
	for i, s := range scenarios {
		names[i] = s.name
	}
	for _, s := range standaloneScenarios {
		names = append(names, s.name)
	}
	return names
}

// readAfterLag enables delayed reads, made when the replicas' lag has passed.
func readAfterLag(c *load.Config) { c.DelayedReadAfter = replicaLag + replicaLag/2 }

// acknowledgeByTerm delays replication to the replicas, and acknowledges commits
// without waiting for them.
func acknowledgeByTerm(p *testbed.Plan) {
	p.ReceiveLag = replicaLag
	for i := range p.Customers {
		p.Customers[i].Acknowledge = customer.AckTerm
	}
}

func overload(c *load.Config) {
	c.Sessions *= 6
	c.Viewers *= 6
	c.Pause = overloadMeanPause
}

func noFaults(ctx context.Context, e *experiment) error {
	e.waitForEnd(ctx)
	return nil
}

func killPrimary(ctx context.Context, e *experiment) error {
	return e.forEachGroup(func(g topology.GroupID) error { return killPrimaryOf(ctx, e, g) })
}

func killPrimaryOf(ctx context.Context, e *experiment, g topology.GroupID) error {
	primary := e.bed.Primary(ctx, g)
	if err := e.measureGap(ctx, g, primary.Kill); err != nil {
		return err
	}
	if err := primary.Start(); err != nil {
		return err
	}
	return e.waitForReplica(ctx, primary.ID)
}

func freezePrimary(ctx context.Context, e *experiment) error {
	return e.forEachGroup(func(g topology.GroupID) error { return freezePrimaryOf(ctx, e, g) })
}

func freezePrimaryOf(ctx context.Context, e *experiment, g topology.GroupID) error {
	primary := e.bed.Primary(ctx, g)
	frozen := time.Now()
	if err := e.measureGap(ctx, g, primary.Freeze); err != nil {
		return err
	}
	sleep(ctx, time.Until(frozen.Add(freezeDuration)))
	if err := primary.Thaw(); err != nil {
		return err
	}
	return e.waitForReplica(ctx, primary.ID)
}

// cutDomain isolates the failure domain of each group's primary in turn from the
// other domains and the platform.
func cutDomain(ctx context.Context, e *experiment) error {
	return e.forEachGroup(func(g topology.GroupID) error {
		primary := e.bed.Primary(ctx, g)
		return cutAndHeal(ctx, e, primary, testbed.AcrossDomain(primary.Domain))
	})
}

// cutPrimaryFromPeers isolates each group's primary from its replicas in turn, while
// hosts can still reach the primary.
func cutPrimaryFromPeers(ctx context.Context, e *experiment) error {
	return e.forEachGroup(func(g topology.GroupID) error {
		primary := e.bed.Primary(ctx, g)
		return cutAndHeal(ctx, e, primary, testbed.Between(primary.Name, testbed.KindTarget))
	})
}

func cutAndHeal(ctx context.Context, e *experiment, primary *testbed.Target, match testbed.Match) error {
	if err := e.measureGap(ctx, primary.Group, func() error { return e.bed.Network.Cut(match) }); err != nil {
		return err
	}
	if err := e.bed.Network.Heal(ctx); err != nil {
		return err
	}
	return e.waitForReplica(ctx, primary.ID)
}

// silentConnections makes every open connection between hosts and targets stop
// carrying data without closing.
func silentConnections(ctx context.Context, e *experiment) error {
	for first := true; first || e.timeLeft(); first = false {
		silencedAt := time.Now()
		if err := e.bed.Network.Silence(testbed.OfKinds(testbed.KindHost, testbed.KindTarget)); err != nil {
			return err
		}
		sleep(ctx, silenceDuration)
		for _, g := range e.bed.Plan.Groups {
			e.gaps = append(e.gaps, e.run.Timings.Gap(g, silencedAt, time.Now()))
		}
	}
	return nil
}

func platformDown(ctx context.Context, e *experiment) error {
	if err := e.bed.Platform.Down(ctx); err != nil {
		return err
	}
	if err := e.forEachGroup(func(g topology.GroupID) error { return killPrimaryOf(ctx, e, g) }); err != nil {
		return err
	}
	return e.bed.Platform.Up(ctx)
}

// rollingRestart gracefully restarts the hosts one at a time.
func rollingRestart(ctx context.Context, e *experiment) error {
	for _, h := range e.bed.Hosts {
		if err := restartHost(ctx, h); err != nil {
			return err
		}
	}
	e.waitForEnd(ctx)
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

// mixed injects faults of several kinds in an order determined by the seed.
func mixed(ctx context.Context, e *experiment) error {
	faults := []func() error{
		func() error { return killPrimaryOf(ctx, e, e.randomGroup()) },
		func() error { return freezePrimaryOf(ctx, e, e.randomGroup()) },
		func() error {
			primary := e.bed.Primary(ctx, e.randomGroup())
			return cutAndHeal(ctx, e, primary, testbed.AcrossDomain(primary.Domain))
		},
		func() error { return e.bed.Network.Silence(testbed.OfKinds(testbed.KindHost, testbed.KindTarget)) },
		func() error { return restartHost(ctx, e.randomHost()) },
		func() error { return e.killHost(ctx) },
	}
	for first := true; first || e.timeLeft(); first = false {
		for _, i := range e.rng.Perm(len(faults)) {
			if err := faults[i](); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *experiment) randomGroup() topology.GroupID {
	return e.bed.Plan.Groups[e.rng.Intn(len(e.bed.Plan.Groups))]
}

func (e *experiment) randomHost() *testbed.Host { return e.bed.Hosts[e.rng.Intn(len(e.bed.Hosts))] }

// killHost kills a random host, removes it from the host list as the platform would
// do, and restarts it.
func (e *experiment) killHost(ctx context.Context) error {
	h := e.randomHost()
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
