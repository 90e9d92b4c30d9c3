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
	impatience = 5 * time.Millisecond // some questions are given up on after it
	giveUpOne  = 5                    // one in so many questions is given up on
)

// askOwn asks for a value that names the caller and the question, and sends a
// failure for every other answer.
func askOwn(ctx context.Context, bed *testbed.Bed, caller, questions int, failures chan<- string) {
	rng := rand.New(rand.NewSource(seed + int64(caller)))
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			closeConn(conn)
		}
	}()
	for q := range questions {
		if conn == nil || conn.IsClosed() {
			c, err := bed.Hosts[rng.Intn(len(bed.Hosts))].Connect(ctx, customerOf(bed), databaseOf(bed))
			if err != nil {
				failures <- err.Error()
				return
			}
			conn = c
		}
		want := fmt.Sprintf("answer %d to %d", q, caller)
		got, err := askOnce(ctx, conn, rng, want)
		if err == nil && got != want {
			failures <- fmt.Sprintf("want %q, got %q", want, got)
		}
	}
}

func askOnce(ctx context.Context, conn *pgx.Conn, rng *rand.Rand, want string) (string, error) {
	sql := "SELECT $1::text"
	if rng.Intn(giveUpOne) == 0 {
		bounded, cancel := context.WithTimeout(ctx, impatience)
		defer cancel()
		ctx = bounded
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
