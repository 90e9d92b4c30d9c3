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

	directWarmupStatements  = 50                                         // run first to open connections and establish the freshness floor
	directStatements        = 2000                                       // per connection, direct and proxied
	maxDirectLatency        = int64(10 * time.Second / time.Microsecond) // µs
	directSignificantDigits = 3
)

// comparisonPath is a target, the host that proxies to the target, and the
// statement to compare.
type comparisonPath struct {
	bed         *testbed.Bed
	target      *testbed.Target
	host        *testbed.Host
	sql         string
	idleCPURate float64 // CPU seconds per second of all hosts without load
}

// compare runs the statement directly at the target and through the host,
// alternating between the two so that other load on the machine affects both
// equally.
func (p comparisonPath) compare(ctx context.Context) (comparison, error) {
	directConn, err := p.target.Connect(ctx)
	if err != nil {
		return comparison{}, err
	}
	defer directConn.Close(ctx)
	proxiedConn, err := p.host.ConnectWithoutLink(ctx, p.bed.Plan.Customers[0].ID, string(p.target.Group))
	if err != nil {
		return comparison{}, err
	}
	defer proxiedConn.Close(ctx)
	for range directWarmupStatements {
		if _, err := proxiedConn.Exec(ctx, p.sql); err != nil {
			return comparison{}, err
		}
	}
	return p.measure(ctx, directConn, proxiedConn)
}

func (p comparisonPath) measure(ctx context.Context, directConn, proxiedConn *pgx.Conn) (comparison, error) {
	directLatencies, proxiedLatencies := newDirectHistogram(), newDirectHistogram()
	before, err := totalHostCPU(p.bed)
	if err != nil {
		return comparison{}, err
	}
	start := time.Now()
	for range directStatements {
		if err := timeStatement(ctx, directConn, p.sql, directLatencies); err != nil {
			return comparison{}, err
		}
		if err := timeStatement(ctx, proxiedConn, p.sql, proxiedLatencies); err != nil {
			return comparison{}, err
		}
	}
	idleCPU := p.idleCPURate * time.Since(start).Seconds()
	after, err := totalHostCPU(p.bed)
	if err != nil {
		return comparison{}, err
	}
	c := comparison{
		Direct:      summarizeLatency(directLatencies),
		Proxied:     summarizeLatency(proxiedLatencies),
		CPU:         (after - before - idleCPU) * float64(time.Second/time.Microsecond) / directStatements,
		CPUWithIdle: (after - before) * float64(time.Second/time.Microsecond) / directStatements,
	}
	c.AddedP50 = c.Proxied.P50 - c.Direct.P50
	c.AddedP99 = c.Proxied.P99 - c.Direct.P99
	return c, p.checkServedBy(ctx, proxiedConn)
}

// checkServedBy returns an error if the last statement on conn did not run at the
// target.
func (p comparisonPath) checkServedBy(ctx context.Context, conn *pgx.Conn) error {
	var server string
	err := conn.QueryRow(ctx, "SHOW nettlewalk.served_by", pgx.QueryExecModeSimpleProtocol).Scan(&server)
	name, _, _ := strings.Cut(server, " ") // the server's name is followed by its role
	if err == nil && name != string(p.target.ID) {
		err = errors.Newf("statement was served by %s, not by the compared target", server)
	}
	return err
}

func newDirectHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDirectLatency, directSignificantDigits)
}

func timeStatement(ctx context.Context, conn *pgx.Conn, sql string, latencies *hdrhistogram.Histogram) error {
	start := time.Now()
	if _, err := conn.Exec(ctx, sql); err != nil {
		return err
	}
	return latencies.RecordValue(time.Since(start).Microseconds())
}

// dumpedSlots returns the slots in the host's state dump.
func dumpedSlots(ctx context.Context, h *testbed.Host) ([]pool.SlotState, error) {
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
