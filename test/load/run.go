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

// Run is a load under way.
type Run struct {
	Log     *history.Log
	Timings *Timings
	bed     *testbed.Bed
	cfg     Config
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Start begins the load; it goes on until Stop.
func Start(bed *testbed.Bed, cfg Config) *Run {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Run{Log: &history.Log{}, Timings: newTimings(), bed: bed, cfg: cfg, cancel: cancel}
	for i := range cfg.Sessions {
		s := &session{
			id:      fmt.Sprintf("s%d-%d", cfg.Seed, i),
			mode:    cfg.Modes[i%len(cfg.Modes)],
			db:      cfg.Databases[i%len(cfg.Databases)],
			cfg:     &r.cfg,
			bed:     bed,
			rng:     rand.New(rand.NewSource(cfg.Seed + int64(i))),
			log:     r.Log,
			timings: r.Timings,
		}
		r.wg.Go(func() { s.run(ctx) })
	}
	for i := range cfg.Viewers {
		v := &viewer{
			db:      cfg.Databases[i%len(cfg.Databases)],
			cfg:     &r.cfg,
			bed:     bed,
			rng:     rand.New(rand.NewSource(-cfg.Seed - int64(i) - 1)),
			timings: r.Timings,
		}
		r.wg.Go(func() { v.run(ctx) })
	}
	return r
}

// Stop ends the load and waits for what is under way.
func (r *Run) Stop() {
	r.cancel()
	r.wg.Wait()
}

// Check reads each group's primary directly and compares it with the history.
func (r *Run) Check(ctx context.Context) (history.Report, error) {
	present := map[string]int{}
	for _, group := range r.cfg.Databases {
		if err := r.count(ctx, group, present); err != nil {
			return history.Report{}, err
		}
	}
	return r.Log.Check(present), nil
}

func (r *Run) count(ctx context.Context, group topology.GroupID, present map[string]int) error {
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
		present[id]++
	}
	return rows.Err()
}
