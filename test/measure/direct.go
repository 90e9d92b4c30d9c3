package main

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	directStatements = 2000
	longestDirect    = int64(10 * time.Second / time.Microsecond) // µs
	directDigits     = 3
)

// measureDirect runs the same statements, one after the other, straight at the
// primary and through the host beside it, without any network delay.
func measureDirect(ctx context.Context, bed *testbed.Bed) (*direct, error) {
	group := bed.Plan.Groups[0]
	primary := bed.Primary(ctx, group)
	if primary == nil {
		return nil, fmt.Errorf("group %s has no primary", group)
	}
	straight, err := primary.Connect(ctx)
	if err != nil {
		return nil, err
	}
	defer straight.Close(ctx)
	beside, err := connectBeside(ctx, bed, primary)
	if err != nil {
		return nil, err
	}
	defer beside.Close(ctx)
	return compare(ctx, straight, beside)
}

// connectBeside connects past the callers' delay to a host in the target's domain.
func connectBeside(ctx context.Context, bed *testbed.Bed, t *testbed.Target) (*pgx.Conn, error) {
	for _, h := range bed.Hosts {
		if h.Domain == t.Domain {
			return h.ConnectNear(ctx, bed.Plan.Customers[0].ID, string(t.Group))
		}
	}
	return nil, fmt.Errorf("no host in domain %s", t.Domain)
}

func compare(ctx context.Context, straight, beside *pgx.Conn) (*direct, error) {
	const read = "SELECT count(*) FROM roster WHERE state = 'free'"
	straightRead, err := timeStatements(ctx, straight, read)
	if err != nil {
		return nil, err
	}
	besideRead, err := timeStatements(ctx, beside, read)
	if err != nil {
		return nil, err
	}
	straightWrite, err := timeStatements(ctx, straight, "INSERT INTO bookings (id, session, seq) VALUES ('direct', 'direct', 0)")
	if err != nil {
		return nil, err
	}
	return &direct{
		ReadLatency:  latencyOf(straightRead),
		WriteLatency: latencyOf(straightWrite),
		AddedReadP50: latencyOf(besideRead).P50 - latencyOf(straightRead).P50,
	}, nil
}

func timeStatements(ctx context.Context, conn *pgx.Conn, sql string) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, longestDirect, directDigits)
	for range directStatements {
		start := time.Now()
		if _, err := conn.Exec(ctx, sql); err != nil {
			return nil, err
		}
		if err := h.RecordValue(time.Since(start).Microseconds()); err != nil {
			return nil, err
		}
	}
	return h, nil
}
