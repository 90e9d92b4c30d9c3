package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	floodStatement = "UPDATE roster SET state = 'free' WHERE crew = 'crew-2'"
	floodTimeout   = 20 * time.Second // per statement
)

// flood is a set of callers that write continuously. After a refusal, a caller waits
// for the time in the refusal's retry hint.
type flood struct {
	bed      *testbed.Bed
	customer topology.CustomerID
	database string
	cancel   context.CancelFunc
	callers  sync.WaitGroup

	mu     sync.Mutex
	counts floodCounts
}

// floodCounts counts a flood's statements by result.
type floodCounts struct {
	Served        int64 `json:"served"`
	Refused       int64 `json:"refused"`
	Retries       int64 `json:"returns"` // statements sent after the delay that a refusal asked for
	RetriesServed int64 `json:"returns_served"`
	Errors        int64 `json:"errors"` // other errors
}

func startFlood(bed *testbed.Bed, customer topology.CustomerID, database string, callers int) *flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flood{bed: bed, customer: customer, database: database, cancel: cancel}
	for i := range callers {
		f.callers.Go(func() { f.run(ctx, bed.Hosts[i%len(bed.Hosts)]) })
	}
	return f
}

// stop stops the flood and returns its counts.
func (f *flood) stop() floodCounts {
	f.cancel()
	f.callers.Wait()
	return f.counts
}

func (f *flood) run(ctx context.Context, host *testbed.Host) {
	var conn *pgx.Conn
	isRetry := false
	for ctx.Err() == nil {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = host.Connect(ctx, f.customer, f.database); err != nil {
				conn = nil
				sleep(ctx, reconnectDelay)
				continue
			}
		}
		retryAfter, refused, err := runFloodStatement(ctx, conn)
		f.record(isRetry, refused, err)
		isRetry = refused
		if refused {
			sleep(ctx, retryAfter)
		}
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

const reconnectDelay = 50 * time.Millisecond // after a failed connection attempt

// runFloodStatement runs one statement. If the proxy refuses it with a retry hint,
// refused is true and retryAfter is the hinted delay.
func runFloodStatement(ctx context.Context, conn *pgx.Conn) (retryAfter time.Duration, refused bool, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), floodTimeout)
	defer cancel()
	_, err = conn.Exec(ctx, floodStatement)
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return 0, false, err
	}
	var milliseconds int64
	if _, scanErr := fmt.Sscanf(pgErr.Hint, "retry after %d ms", &milliseconds); scanErr != nil {
		return 0, false, err
	}
	return time.Duration(milliseconds) * time.Millisecond, true, nil
}

func (f *flood) record(isRetry, refused bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := err == nil && !refused
	switch {
	case refused:
		f.counts.Refused++
	case err != nil:
		f.counts.Errors++
	default:
		f.counts.Served++
	}
	if isRetry {
		f.counts.Retries++
	}
	if isRetry && served {
		f.counts.RetriesServed++
	}
}
