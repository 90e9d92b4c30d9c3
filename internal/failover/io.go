package failover

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	probeTimeout  = 200 * time.Millisecond // opening a new connection takes up to 30 ms
	orderTimeout  = 600 * time.Millisecond
	followTimeout = 2 * time.Second
)

func (w *watchedGroup) poll(id topology.TargetID) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	sentAt := time.Now()
	st, err := w.monitor.opts.Directory.Status(ctx, id)
	if err != nil {
		w.step(StatusFailed{Target: id, SentAt: sentAt})
		return
	}
	w.step(StatusAnswered{Status: st, SentAt: sentAt})
}

func (w *watchedGroup) probe(id topology.TargetID) {
	sentAt := time.Now()
	t, ok := w.target(id)
	if !ok {
		return
	}
	w.step(ProbeFinished{Target: id, Result: w.monitor.probe(t.Addr), SentAt: sentAt})
}

// probe opens a connection and sends an SSLRequest, which a PostgreSQL server
// answers before the connection counts towards its connection limit.
func (m *Monitor) probe(addr string) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	dial := m.opts.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return probeFailure(err)
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return ProbeTimedOut
	}
	if _, err := conn.Write(request); err != nil {
		return probeFailure(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return probeFailure(err)
	}
	return ProbeAnswered
}

// probeFailure distinguishes a closed port or a closed connection from a timeout.
func probeFailure(err error) ProbeResult {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return ProbeTimedOut
	}
	if errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) {
		return ProbeTimedOut
	}
	return ProbeRefused
}

func (w *watchedGroup) sendOrder(order Order) {
	timeout := orderTimeout
	switch order.Kind {
	case OrderPromote:
		timeout = w.promoteTimeout()
	case OrderFollow:
		timeout = followTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sentAt := time.Now()
	st, err := w.monitor.callTarget(ctx, order)
	var stale *target.ErrStaleTerm
	finished := OrderFinished{Order: order, Status: st, SentAt: sentAt}
	switch {
	case errors.As(err, &stale):
		finished.Result = OrderStale
	case err != nil:
		finished.Result = OrderUnknown
	}
	w.monitor.opts.Log.V(1).Info("failover order finished", "group", w.id, "order", order.Kind, "target", order.Target, "term", order.Term, "error", err)
	w.step(finished)
}

func (w *watchedGroup) promoteTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timings.PromoteTimeout
}

func (m *Monitor) callTarget(ctx context.Context, order Order) (target.Status, error) {
	switch order.Kind {
	case OrderFence:
		return m.opts.Directory.Fence(ctx, order.Target, order.Term)
	case OrderPromote:
		return m.opts.Directory.Promote(ctx, order.Target, order.Term)
	default:
		return m.opts.Directory.Follow(ctx, order.Target, order.Term, order.Primary)
	}
}
