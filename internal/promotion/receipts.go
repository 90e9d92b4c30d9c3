package promotion

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// receiptInterval is the time between status queries of a replica while a commit waits for its
	// receipt: each takes a work slot.
	receiptInterval = 10 * time.Millisecond
	// receiptRetryInterval is that time after a query without an answer.
	receiptRetryInterval = 100 * time.Millisecond
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
	mu       sync.Mutex
	epoch    uint64
	replicas map[topology.TargetID]*replicaReceipt
	told     chan struct{} // closed when a replica has told a position
	idle     *time.Timer   // closes connections
}

// replicaReceipt is what a replica has told in the epoch. The connection belongs to the query that
// runs.
type replicaReceipt struct {
	received topology.Position
	queried  bool      // a query runs
	nextAt   time.Time // earliest start of the next one
	conn     statement.Conn
}

func (r *Receipts) group(id topology.GroupID) *groupReceipts {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.groups[id]
	if g == nil {
		g = &groupReceipts{replicas: map[topology.TargetID]*replicaReceipt{}, told: make(chan struct{})}
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

// await queries the replicas until enough have received the position or ctx is done. One that
// doesn't respond delays nothing.
func (r *Receipts) await(ctx context.Context, id topology.GroupID, e *confirm.Electorate, position topology.Position) bool {
	g := r.group(id)
	g.idle.Reset(receiptIdle)
	replicas := countingReplicas(r.opts.Members(id), e.DroppedTargets())
	needed := max(1, r.opts.AckReplicas(id))
	ticker := time.NewTicker(receiptInterval)
	defer ticker.Stop()
	for {
		proved, told := g.check(e.Epoch, replicas, position, needed, func(m duty.Member) { go r.query(id, g, m) })
		if proved {
			return true
		}
		select {
		case <-told:
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
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

// check reports whether as many replicas as needed are known to have received the position. Otherwise
// it has those queried that are due, and returns a channel that is closed when one has told more.
func (g *groupReceipts) check(epoch uint64, replicas []duty.Member, position topology.Position, needed int, query func(duty.Member)) (proved bool, told <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		g.epoch = epoch
		for _, state := range g.replicas {
			state.received = topology.Position{}
		}
	}
	n, now := 0, steady.Now()
	for _, m := range replicas {
		if state := g.replicas[m.ID]; state != nil && state.received.AtLeast(position) {
			n++
		}
	}
	if n >= needed {
		return true, nil
	}
	for _, m := range replicas {
		state := g.replicas[m.ID]
		if state == nil {
			state = &replicaReceipt{}
			g.replicas[m.ID] = state
		}
		if !state.queried && !now.Before(state.nextAt) {
			state.queried, state.nextAt = true, now.Add(receiptInterval)
			query(m)
		}
	}
	return false, g.told
}

// query asks a replica for its status, in a goroutine of its own.
func (r *Receipts) query(id topology.GroupID, g *groupReceipts, m duty.Member) {
	g.mu.Lock()
	conn := g.replicas[m.ID].conn
	g.mu.Unlock()
	status, conn, err := r.status(topology.Target{ID: m.ID, Group: id, Addr: m.Addr, Domain: m.Domain}, conn)
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.replicas[m.ID]
	state.queried, state.conn = false, conn
	switch {
	case err != nil: // counted as a receipt that isn't proved, if no other replica proves it
		state.nextAt = steady.Now().Add(receiptRetryInterval)
		return
	case !status.Primary:
		state.received = status.Received
	}
	close(g.told)
	g.told = make(chan struct{})
}

// status asks a target for its status by the connection, or a new one if it is nil or has ended. It
// returns the connection to use next, nil if there is none.
func (r *Receipts) status(target topology.Target, conn statement.Conn) (statement.TargetStatus, statement.Conn, error) {
	if conn == nil || !conn.Alive() {
		if conn != nil {
			conn.Close()
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeDialTimeout)
		defer cancel()
		var err error
		if conn, err = r.opts.Dialer.Dial(ctx, target, ""); err != nil {
			return statement.TargetStatus{}, nil, err
		}
	}
	answers, err := conn.Exchange(time.Now().Add(probeTimeout), statement.Statement{ID: statement.ProxyRequestID, Kind: statement.Status})
	if err != nil {
		conn.Close()
		return statement.TargetStatus{}, nil, err
	}
	if !answers[0].OK() || len(answers[0].Rows) == 0 {
		return statement.TargetStatus{}, conn, errNoStatus
	}
	status, err := r.opts.Parse(answers[0].Rows[0])
	return status, conn, err
}

// errNoStatus means that a replica is busy.
var errNoStatus = errors.New("the replica has not told its status")

// closeConns closes the connections of a group that has asked nothing for receiptIdle. One that a
// query uses stays open until the group has asked again.
func (g *groupReceipts) closeConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, state := range g.replicas {
		if state.queried {
			g.idle.Reset(receiptIdle)
			continue
		}
		if state.conn != nil {
			state.conn.Close()
		}
		delete(g.replicas, id)
	}
}
