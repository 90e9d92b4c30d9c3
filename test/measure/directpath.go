package main

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	directRead  = "SELECT count(*) FROM roster WHERE state = 'free'"
	directWrite = "INSERT INTO bookings (id, session, seq) VALUES ('direct', 'direct', 0)"

	directWarmup     = 50                                         // statements that open connections and learn the floor
	directStatements = 2000                                       // on each way
	longestDirect    = int64(10 * time.Second / time.Microsecond) // µs
	directDigits     = 3
)

// path is one target and the host through which it is reached.
type path struct {
	bed    *testbed.Bed
	target *testbed.Target
	host   *testbed.Host
	sql    string
	idle   float64 // processor time of all idle hosts per second
}

// compare runs the statement straight at the target and through the host in
// turn, so that other load on the machine meets both alike.
func (p path) compare(ctx context.Context) (comparison, error) {
	straight, err := p.target.Connect(ctx)
	if err != nil {
		return comparison{}, err
	}
	defer straight.Close(ctx)
	through, err := p.host.ConnectNear(ctx, p.bed.Plan.Customers[0].ID, string(p.target.Group))
	if err != nil {
		return comparison{}, err
	}
	defer through.Close(ctx)
	for range directWarmup {
		if _, err := through.Exec(ctx, p.sql); err != nil {
			return comparison{}, err
		}
	}
	return p.run(ctx, straight, through)
}

func (p path) run(ctx context.Context, straight, through *pgx.Conn) (comparison, error) {
	straightTimes, throughTimes := newDirectTimes(), newDirectTimes()
	before, err := hostCPU(p.bed)
	if err != nil {
		return comparison{}, err
	}
	start := time.Now()
	for range directStatements {
		if err := timeStatement(ctx, straight, p.sql, straightTimes); err != nil {
			return comparison{}, err
		}
		if err := timeStatement(ctx, through, p.sql, throughTimes); err != nil {
			return comparison{}, err
		}
	}
	idle := p.idle * time.Since(start).Seconds()
	after, err := hostCPU(p.bed)
	if err != nil {
		return comparison{}, err
	}
	c := comparison{
		Straight:   latencyOf(straightTimes),
		Through:    latencyOf(throughTimes),
		CPU:        (after - before - idle) * float64(time.Second/time.Microsecond) / directStatements,
		CPUAndIdle: (after - before) * float64(time.Second/time.Microsecond) / directStatements,
	}
	c.AddedP50 = c.Through.P50 - c.Straight.P50
	c.AddedP99 = c.Through.P99 - c.Straight.P99
	return c, p.checkServedBy(ctx, through)
}

// checkServedBy makes sure that the latest statement ran at the target.
func (p path) checkServedBy(ctx context.Context, conn *pgx.Conn) error {
	var server string
	err := conn.QueryRow(ctx, "SHOW nettlewalk.served_by", pgx.QueryExecModeSimpleProtocol).Scan(&server)
	name, _, _ := strings.Cut(server, " ") // the role follows
	if err == nil && name != string(p.target.ID) {
		err = errors.Newf("served by %s instead", server)
	}
	return err
}

func newDirectTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestDirect, directDigits)
}

func timeStatement(ctx context.Context, conn *pgx.Conn, sql string, into *hdrhistogram.Histogram) error {
	start := time.Now()
	if _, err := conn.Exec(ctx, sql); err != nil {
		return err
	}
	return into.RecordValue(time.Since(start).Microseconds())
}

// lockedSlots returns the slots in a host's state dump.
func lockedSlots(ctx context.Context, h *testbed.Host) ([]pool.SlotState, error) {
	content, err := h.Dump(ctx)
	if err != nil {
		return nil, err
	}
	var dump struct {
		Pool pool.State `json:"pool"`
	}
	err = json.Unmarshal(content, &dump)
	return dump.Pool.Slots, err
}
