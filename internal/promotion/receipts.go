package promotion

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// receiptInterval is the time between status queries of a replica while a commit waits for its
	// receipt: each takes a work slot.
	receiptInterval = 10 * time.Millisecond
	// receiptIdle is how long connections for these queries are kept without a question.
	receiptIdle = 10 * time.Second
)

// ReceiptOptions configures Receipts.
type ReceiptOptions struct {
	Dialer statement.Dialer
	Parse  statement.StatusParser
	// Members returns the possible commit holders that the store lists for a group.
	Members func(topology.GroupID) []duty.Member
	// AckReplicas returns the number of replicas that must receive a commit.
	AckReplicas func(topology.GroupID) int
}

// Receipts proves that replicas have received positions, by their status. It implements
// confirm.Receipts and is safe for concurrent use. Commits that wait at the same time share the
// queries.
type Receipts struct {
	opts ReceiptOptions

	mu     sync.Mutex
	groups map[topology.GroupID]*groupReceipts
}

// NewReceipts returns Receipts without connections.
func NewReceipts(opts ReceiptOptions) *Receipts {
	return &Receipts{opts: opts, groups: map[topology.GroupID]*groupReceipts{}}
}

// groupReceipts is what is known of a group's replicas.
type groupReceipts struct {
	turn  chan struct{} // held while replicas are queried, and to use conns
	conns map[topology.TargetID]statement.Conn
	idle  *time.Timer // closes conns

	mu       sync.Mutex
	epoch    uint64
	received map[topology.TargetID]topology.Position // newest told in the epoch
}

func (r *Receipts) group(id topology.GroupID) *groupReceipts {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[id]
	if g == nil {
		g = &groupReceipts{turn: make(chan struct{}, 1), conns: map[topology.TargetID]statement.Conn{}}
		g.idle = time.AfterFunc(receiptIdle, g.closeConns)
		r.groups[id] = g
	}
	return g
}

var receiptsProved = map[bool]*metrics.Counter{
	true:  metrics.NewCounter(`nettlewalk_receipts_total{outcome="proved"}`),
	false: metrics.NewCounter(`nettlewalk_receipts_total{outcome="not_proved"}`),
}

// Received implements confirm.Receipts.
func (r *Receipts) Received(ctx context.Context, id topology.GroupID, e *confirm.Electorate, position topology.Position) bool {
	proved := r.await(ctx, id, e, position)
	receiptsProved[proved].Inc()
	return proved
}

// await queries the replicas until they have received the position or ctx is done.
func (r *Receipts) await(ctx context.Context, id topology.GroupID, e *confirm.Electorate, position topology.Position) bool {
	g := r.group(id)
	g.idle.Reset(receiptIdle)
	replicas := countingReplicas(r.opts.Members(id), e.DroppedTargets())
	needed := max(1, r.opts.AckReplicas(id))
	for !g.has(e.Epoch, replicas, position, needed) {
		select {
		case g.turn <- struct{}{}:
		case <-ctx.Done():
			return false
		}
		if !g.has(e.Epoch, replicas, position, needed) {
			r.query(ctx, id, g, e.Epoch, replicas)
		}
		<-g.turn
		if g.has(e.Epoch, replicas, position, needed) {
			return true
		}
		select {
		case <-time.After(receiptInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// countingReplicas returns the members whose logs decide a promotion, without the leader.
func countingReplicas(members []duty.Member, dropped []topology.TargetID) []duty.Member {
	var list []duty.Member
	for _, m := range members {
		if !m.Covered && !m.Leads && !slices.Contains(dropped, m.ID) {
			list = append(list, m)
		}
	}
	return list
}

// has reports whether as many replicas as needed are known to have received the position.
func (g *groupReceipts) has(epoch uint64, replicas []duty.Member, position topology.Position, needed int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return false
	}
	n := 0
	for _, m := range replicas {
		if received, known := g.received[m.ID]; known && received.AtLeast(position) {
			n++
		}
	}
	return n >= needed
}

// query asks the replicas for their status, concurrently. The caller holds g.turn.
func (r *Receipts) query(ctx context.Context, id topology.GroupID, g *groupReceipts, epoch uint64, replicas []duty.Member) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	told := map[topology.TargetID]topology.Position{}
	conns := map[topology.TargetID]statement.Conn{}
	for _, m := range replicas {
		conn := g.conns[m.ID]
		wg.Go(func() {
			status, conn, ok := r.status(ctx, topology.Target{ID: m.ID, Group: id, Addr: m.Addr, Domain: m.Domain}, conn)
			mu.Lock()
			defer mu.Unlock()
			if conn != nil {
				conns[m.ID] = conn
			}
			if ok && !status.Primary {
				told[m.ID] = status.Received
			}
		})
	}
	wg.Wait()
	g.conns = conns
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		g.epoch, g.received = epoch, map[topology.TargetID]topology.Position{}
	}
	maps.Copy(g.received, told)
}

// status asks a target for its status by the connection, or a new one. It returns the connection to
// use next, nil if there is none.
func (r *Receipts) status(ctx context.Context, target topology.Target, conn statement.Conn) (statement.TargetStatus, statement.Conn, bool) {
	deadline := time.Now().Add(probeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if conn == nil || !conn.Alive() {
		var err error
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if conn, err = r.opts.Dialer.Dial(ctx, target, ""); err != nil {
			return statement.TargetStatus{}, nil, false // no receipt is proved, which the caller reports
		}
	}
	answers, err := conn.Exchange(deadline, statement.Statement{ID: statement.ProxyRequestID, Kind: statement.Status})
	if err != nil {
		conn.Close()
		return statement.TargetStatus{}, nil, false
	}
	if !answers[0].OK() || len(answers[0].Rows) == 0 {
		return statement.TargetStatus{}, conn, false
	}
	status, err := r.opts.Parse(answers[0].Rows[0])
	return status, conn, err == nil
}

// closeConns closes the connections of a group that has asked nothing for receiptIdle.
func (g *groupReceipts) closeConns() {
	g.turn <- struct{}{}
	defer func() { <-g.turn }()
	for id, conn := range g.conns {
		conn.Close()
		delete(g.conns, id)
	}
}
