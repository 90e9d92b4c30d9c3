package integration

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	cancelTimeout = 5 * time.Millisecond // after which a query is cancelled
	cancelOneIn   = 5                    // one in this many queries is cancelled
)

// checkOwnAnswers runs queries whose result is unique to the caller and the query,
// and reports every other result to failures.
func checkOwnAnswers(ctx context.Context, bed *testbed.Bed, caller, queries int, failures chan<- string) {
	rng := rand.New(rand.NewSource(seed + int64(caller)))
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			closeConn(conn)
		}
	}()
	for q := range queries {
		if conn == nil || conn.IsClosed() {
			c, err := bed.Hosts[rng.Intn(len(bed.Hosts))].Connect(ctx, customerOf(bed), databaseOf(bed))
			if err != nil {
				failures <- err.Error()
				return
			}
			conn = c
		}
		want := fmt.Sprintf("answer %d to %d", q, caller)
		got, err := queryValue(ctx, conn, rng, want)
		if err == nil && got != want {
			failures <- fmt.Sprintf("want %q, got %q", want, got)
		}
	}
}

// queryValue queries the value want and returns the result. It randomly cancels
// one in cancelOneIn queries by a short timeout.
func queryValue(ctx context.Context, conn *pgx.Conn, rng *rand.Rand, want string) (string, error) {
	sql := "SELECT $1::text"
	if rng.Intn(cancelOneIn) == 0 {
		queryCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		ctx = queryCtx
		sql = "SELECT $1::text, pg_sleep(0.02)"
	}
	var got string
	row := conn.QueryRow(ctx, sql, want)
	if sql == "SELECT $1::text" {
		return got, row.Scan(&got)
	}
	var ignored any
	return got, row.Scan(&got, &ignored)
}
