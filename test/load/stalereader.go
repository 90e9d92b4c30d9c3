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
	db      topology.GroupID
	cfg     *Config
	bed     *testbed.Bed
	rng     *rand.Rand
	timings *Timings
	conn    *pgx.Conn
}

func (v *staleReader) run(ctx context.Context) {
	defer v.close()
	for ctx.Err() == nil {
		if v.conn == nil && !v.connect(ctx) {
			sleep(ctx, connectRetryDelay)
			continue
		}
		v.read(ctx)
		sleep(ctx, time.Duration(v.rng.ExpFloat64()*float64(v.cfg.Pause)))
	}
}

func (v *staleReader) connect(ctx context.Context) bool {
	host := v.bed.Hosts[v.rng.Intn(len(v.bed.Hosts))]
	conn, err := host.ConnectViewer(ctx, v.cfg.Customer, string(v.db), "nettlewalk.max_staleness="+v.cfg.MaxStale.String())
	if err != nil {
		return false
	}
	v.conn = conn
	return true
}

func (v *staleReader) read(ctx context.Context) {
	ctx, cancel := withStatementTimeout(ctx)
	defer cancel()
	start := time.Now()
	var freeCount int
	err := v.conn.QueryRow(ctx, "SELECT count(*) FROM roster WHERE state = 'free'").Scan(&freeCount)
	if err != nil {
		v.timings.addError("view", err)
	} else {
		v.timings.addStaleRead(start, time.Now())
	}
	if v.conn.IsClosed() {
		v.conn = nil
	}
}

func (v *staleReader) close() {
	if v.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = v.conn.Close(ctx)
}
