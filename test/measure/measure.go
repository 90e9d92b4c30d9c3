package main

import (
	"context"
	"math/rand"
	"time"

	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	sessionsPerGroup     = 12
	staleReadersPerGroup = 8
	writeShare           = 0.3
	meanPause            = 20 * time.Millisecond
	maxReadStaleness     = 2 * time.Second
)

// measure runs one scenario on one deployment.
func measure(ctx context.Context, s scenario, plan testbed.Plan, o options) (*report, error) {
	if s.plan != nil {
		s.plan(&plan)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	bed, err := testbed.Start(startCtx, plan)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	cfg := loadConfig(plan, o.Seed)
	if s.load != nil {
		s.load(&cfg)
	}
	e := &experiment{bed: bed, rng: rand.New(rand.NewSource(o.Seed)), extra: map[string]any{}}
	return e.runScenario(ctx, s, cfg, o)
}

func loadConfig(plan testbed.Plan, seed int64) load.Config {
	groups := len(plan.Groups)
	return load.Config{
		Customer:   plan.Customers[0].ID,
		Databases:  plan.Groups,
		Sessions:   sessionsPerGroup * groups,
		Modes:      []load.Mode{load.ModeIdentity, load.ModeToken, load.ModePlain},
		Viewers:    staleReadersPerGroup * groups,
		WriteShare: writeShare,
		Pause:      meanPause,
		Seed:       seed,
		MaxStale:   maxReadStaleness,
	}
}

// runScenario runs the load, injects the scenario's faults and returns the report.
func (e *experiment) runScenario(ctx context.Context, sc scenario, cfg load.Config, o options) (*report, error) {
	before, err := totalHostCPU(e.bed)
	if err != nil {
		return nil, err
	}
	e.run = load.Start(e.bed, cfg)
	e.end = time.Now().Add(warmup + time.Duration(o.Seconds)*time.Second)
	sleep(ctx, warmup)
	runErr := sc.inject(ctx, e)
	e.run.Stop()
	if runErr != nil {
		return nil, runErr
	}
	r := &report{Scenario: sc.name, Deployment: e.bed.Plan.Name, Seed: o.Seed, Seconds: o.Seconds}
	e.fillTimings(r)
	if err := e.fillCounts(ctx, r); err != nil {
		return nil, err
	}
	if after, err := totalHostCPU(e.bed); err == nil && r.Statements > 0 {
		r.HostCPUPerStatement = (after - before) * float64(time.Second/time.Microsecond) / float64(r.Statements)
	}
	return r, nil
}

func (e *experiment) fillTimings(r *report) {
	t := e.run.Timings
	r.WriteLatency = summarizeLatency(t.Writes())
	r.ReadLatency = summarizeLatency(t.Reads())
	r.StaleReadLatency = summarizeLatency(t.StaleReads())
	r.Statements = r.WriteLatency.N + r.ReadLatency.N + r.StaleReadLatency.N
	r.FailoverGap = summarizeGaps(e.gaps)
	reads, replica := t.DelayedReads()
	r.DelayedReads = reads
	if reads > 0 {
		r.DelayedReadReplicaShare = float64(replica) / float64(reads)
	}
	r.Errors = t.Errors()
	r.Extra = e.extra
}

func (e *experiment) fillCounts(ctx context.Context, r *report) error {
	check, err := e.run.Check(ctx)
	if err != nil {
		return err
	}
	r.LostWrites = len(check.Lost)
	r.DuplicatedWrites = len(check.Duplicated)
	r.StaleSessionReads = len(check.Stale)
	r.FalseNotRun = len(check.FalseNotRun)
	r.UnknownOutcomes = check.Unknown
	r.Refused = check.Refused
	if check.Broken() {
		r.Extra["broken"] = check.String()
	}
	r.ConnectionLimit = e.bed.Plan.Connections
	r.ConnectionsMax, err = maxTargetConnections(ctx, e.bed)
	if err != nil {
		return err
	}
	r.ReplicaReadShare, r.PrimaryReadsByReason = replicaReadShare(ctx, e.bed)
	return nil
}

// maxTargetConnections returns the highest number of concurrent connections that any
// target has had.
func maxTargetConnections(ctx context.Context, bed *testbed.Bed) (int, error) {
	highest := 0
	for _, t := range bed.Targets {
		state, err := t.State(ctx)
		if err != nil {
			return 0, err
		}
		highest = max(highest, state.MaxConnections)
	}
	return highest, nil
}

// totalHostCPU returns the CPU time used by all hosts, in seconds.
func totalHostCPU(bed *testbed.Bed) (float64, error) {
	sum := 0.0
	for _, h := range bed.Hosts {
		cpu, err := h.CPU()
		if err != nil {
			return 0, err
		}
		sum += cpu
	}
	return sum, nil
}
