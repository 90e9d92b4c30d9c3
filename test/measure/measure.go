package main

import (
	"context"
	"math/rand"
	"time"

	"nettlewalk.example/nettlewalk/test/load"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	sessionsPerGroup = 12
	viewersPerGroup  = 8
	writeShare       = 0.3
	meanPause        = 20 * time.Millisecond
	viewerStaleness  = 2 * time.Second
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
	st := &stage{bed: bed, rng: rand.New(rand.NewSource(o.Seed)), extra: map[string]any{}}
	return st.play(ctx, s, cfg, o)
}

func loadConfig(plan testbed.Plan, seed int64) load.Config {
	groups := len(plan.Groups)
	return load.Config{
		Customer:   plan.Customers[0].ID,
		Databases:  plan.Groups,
		Sessions:   sessionsPerGroup * groups,
		Modes:      []load.Mode{load.ModeIdentity, load.ModeToken, load.ModePlain},
		Viewers:    viewersPerGroup * groups,
		WriteShare: writeShare,
		Pause:      meanPause,
		Seed:       seed,
		MaxStale:   viewerStaleness,
	}
}

// play runs the load and the scenario's faults and gathers the report.
func (s *stage) play(ctx context.Context, sc scenario, cfg load.Config, o options) (*report, error) {
	before, err := hostCPU(s.bed)
	if err != nil {
		return nil, err
	}
	s.run = load.Start(s.bed, cfg)
	s.end = time.Now().Add(warmup + time.Duration(o.Seconds)*time.Second)
	sleep(ctx, warmup)
	actErr := sc.act(ctx, s)
	s.run.Stop()
	if actErr != nil {
		return nil, actErr
	}
	r := &report{Scenario: sc.name, Deployment: s.bed.Plan.Name, Seed: o.Seed, Seconds: o.Seconds}
	s.fillTimings(r)
	if err := s.fillCounts(ctx, r); err != nil {
		return nil, err
	}
	if after, err := hostCPU(s.bed); err == nil && r.Statements > 0 {
		r.HostCPUPerStatement = (after - before) * float64(time.Second/time.Microsecond) / float64(r.Statements)
	}
	return r, nil
}

func (s *stage) fillTimings(r *report) {
	t := s.run.Timings
	r.WriteLatency = latencyOf(t.Writes())
	r.ReadLatency = latencyOf(t.Reads())
	r.StaleReadLatency = latencyOf(t.Views())
	r.Statements = r.WriteLatency.N + r.ReadLatency.N + r.StaleReadLatency.N
	r.FailoverGap = gapsOf(s.gaps)
	reads, replica := t.PastLag()
	r.PastLagReads = reads
	if reads > 0 {
		r.PastLagReplicaShare = float64(replica) / float64(reads)
	}
	r.Errors = t.Errors()
	r.Extra = s.extra
}

func (s *stage) fillCounts(ctx context.Context, r *report) error {
	check, err := s.run.Check(ctx)
	if err != nil {
		return err
	}
	r.LostWrites = len(check.Lost)
	r.DoubledWrites = len(check.Doubled)
	r.StaleSessionReads = len(check.Stale)
	r.FalseNotRun = len(check.FalseNotRun)
	r.UnknownOutcomes = check.Unknown
	r.Refused = check.Refused
	if check.Broken() {
		r.Extra["broken"] = check.String()
	}
	r.ConnectionLimit = s.bed.Plan.Connections
	r.ConnectionsMax, err = maxConnections(ctx, s.bed)
	if err != nil {
		return err
	}
	r.ReplicaReadShare, r.PrimaryReadsByReason = readShare(ctx, s.bed)
	return nil
}

func maxConnections(ctx context.Context, bed *testbed.Bed) (int, error) {
	most := 0
	for _, t := range bed.Targets {
		state, err := t.State(ctx)
		if err != nil {
			return 0, err
		}
		most = max(most, state.MaxConnections)
	}
	return most, nil
}

// hostCPU returns the processor time of all hosts in seconds.
func hostCPU(bed *testbed.Bed) (float64, error) {
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
