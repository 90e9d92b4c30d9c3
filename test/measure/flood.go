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
	floodTimeout   = 20 * time.Second // for one statement
)

// flood is callers that write without a pause, and come back after a refusal
// when they were told to.
type flood struct {
	bed      *testbed.Bed
	customer topology.CustomerID
	database string
	cancel   context.CancelFunc
	callers  sync.WaitGroup

	mu    sync.Mutex
	count floodCount
}

// floodCount is what became of a flood's statements.
type floodCount struct {
	Served       int64 `json:"served"`
	Refused      int64 `json:"refused"`
	Returns      int64 `json:"returns"` // statements sent again when the refusal had said
	ReturnsServe int64 `json:"returns_served"`
	Errors       int64 `json:"errors"` // others
}

func startFlood(bed *testbed.Bed, customer topology.CustomerID, database string, callers int) *flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flood{bed: bed, customer: customer, database: database, cancel: cancel}
	for i := range callers {
		f.callers.Go(func() { f.run(ctx, bed.Hosts[i%len(bed.Hosts)]) })
	}
	return f
}

// stop ends the flood and returns what became of it.
func (f *flood) stop() floodCount {
	f.cancel()
	f.callers.Wait()
	return f.count
}

func (f *flood) run(ctx context.Context, host *testbed.Host) {
	var conn *pgx.Conn
	returning := false
	for ctx.Err() == nil {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = host.Connect(ctx, f.customer, f.database); err != nil {
				conn = nil
				sleep(ctx, retryPause)
				continue
			}
		}
		after, refused, err := write(ctx, conn)
		f.note(returning, refused, err)
		returning = refused
		if refused {
			sleep(ctx, after)
		}
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

const retryPause = 50 * time.Millisecond // after a connect that failed

// write runs one statement; refused comes with the time to come back.
func write(ctx context.Context, conn *pgx.Conn) (after time.Duration, refused bool, err error) {
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

func (f *flood) note(returning, refused bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := err == nil && !refused
	switch {
	case refused:
		f.count.Refused++
	case err != nil:
		f.count.Errors++
	default:
		f.count.Served++
	}
	if returning {
		f.count.Returns++
	}
	if returning && served {
		f.count.ReturnsServe++
	}
}
