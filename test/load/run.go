package load

import (
	"context"
	"fmt"
	"math/rand"
	"sync"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/history"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// Run is a running load.
type Run struct {
	Log     *history.Log
	Timings *Timings
	bed     *testbed.Bed
	cfg     Config
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Start starts the load, which runs until Stop is called.
func Start(bed *testbed.Bed, cfg Config) *Run {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Run{Log: &history.Log{}, Timings: newTimings(), bed: bed, cfg: cfg, cancel: cancel}
	for i := range cfg.Sessions {
		s := &session{
			id:      fmt.Sprintf("s%d-%d", cfg.Seed, i),
			mode:    cfg.Modes[i%len(cfg.Modes)],
			group:   cfg.Databases[i%len(cfg.Databases)],
			cfg:     &r.cfg,
			bed:     bed,
			rng:     rand.New(rand.NewSource(cfg.Seed + int64(i))),
			log:     r.Log,
			timings: r.Timings,
		}
		r.wg.Go(func() { s.run(ctx) })
	}
	for i := range cfg.Viewers {
		reader := &staleReader{
			group:   cfg.Databases[i%len(cfg.Databases)],
			cfg:     &r.cfg,
			bed:     bed,
			rng:     rand.New(rand.NewSource(-cfg.Seed - int64(i) - 1)),
			timings: r.Timings,
		}
		r.wg.Go(func() { reader.run(ctx) })
	}
	return r
}

// Stop stops the load and waits for statements in flight.
func (r *Run) Stop() {
	r.cancel()
	r.wg.Wait()
}

// Check reads the rows directly from each group's primary and checks the history
// against them.
func (r *Run) Check(ctx context.Context) (history.Report, error) {
	counts := map[string]int{}
	for _, group := range r.cfg.Databases {
		if err := r.countBookings(ctx, group, counts); err != nil {
			return history.Report{}, err
		}
	}
	return r.Log.Check(counts), nil
}

// countBookings adds the number of rows per id on the group's primary to counts.
func (r *Run) countBookings(ctx context.Context, group topology.GroupID, counts map[string]int) error {
	primary := r.bed.Primary(ctx, group)
	if primary == nil {
		return errors.Newf("group %s has no primary", group)
	}
	conn, err := primary.Connect(ctx)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT id FROM bookings")
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var id string
		if err := rows.Scan(&id); err != nil {
			return err
		}
		counts[id]++
	}
	return rows.Err()
}
