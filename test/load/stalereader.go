package load

import (
	"context"
	"math/rand"
	"time"

	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// staleReader is a read-only caller that accepts stale data.
type staleReader struct {
	group   topology.GroupID
	cfg     *Config
	bed     *testbed.Bed
	rng     *rand.Rand
	timings *Timings
	conn    *pgx.Conn
}

func (r *staleReader) run(ctx context.Context) {
	defer r.close()
	for ctx.Err() == nil {
		if r.conn == nil && !r.connect(ctx) {
			sleep(ctx, connectRetryDelay)
			continue
		}
		r.read(ctx)
		sleep(ctx, time.Duration(r.rng.ExpFloat64()*float64(r.cfg.Pause)))
	}
}

func (r *staleReader) connect(ctx context.Context) bool {
	host := r.bed.Hosts[r.rng.Intn(len(r.bed.Hosts))]
	conn, err := host.ConnectViewer(ctx, r.cfg.Customer, string(r.group), "nettlewalk.max_staleness="+r.cfg.MaxStale.String())
	if err != nil {
		return false
	}
	r.conn = conn
	return true
}

func (r *staleReader) read(ctx context.Context) {
	ctx, cancel := withStatementTimeout(ctx)
	defer cancel()
	start := time.Now()
	var freeCount int
	err := r.conn.QueryRow(ctx, "SELECT count(*) FROM roster WHERE state = 'free'").Scan(&freeCount)
	if err != nil {
		r.timings.addError("view", err)
	} else {
		r.timings.addStaleRead(start, time.Now())
	}
	if r.conn.IsClosed() {
		r.conn = nil
	}
}

func (r *staleReader) close() {
	if r.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.conn.Close(ctx)
}
