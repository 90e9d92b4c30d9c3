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
	probeTimeout  = 200 * time.Millisecond // a new connection costs up to 30 ms
	orderTimeout  = 600 * time.Millisecond
	followTimeout = 2 * time.Second
)

func (w *watched) poll(id topology.TargetID) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	sentAt := time.Now()
	st, err := w.monitor.opts.Directory.Status(ctx, id)
	if err != nil {
		w.step(StatusFailed{Target: id, SentAt: sentAt})
		return
	}
	w.step(StatusAnswered{Status: st, SentAt: sentAt})
}

func (w *watched) probe(id topology.TargetID) {
	sentAt := time.Now()
	t, ok := w.target(id)
	if !ok {
		return
	}
	w.step(ProbeDone{Target: id, Result: w.monitor.probe(t.Addr), SentAt: sentAt})
}

// probe opens a connection and asks for encryption, which a server answers
// before it counts the connection.
func (m *Monitor) probe(addr string) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	dial := m.opts.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return failedProbe(err)
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return ProbeSilent
	}
	if _, err := conn.Write(request); err != nil {
		return failedProbe(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return failedProbe(err)
	}
	return ProbeAnswered
}

// failedProbe tells a closed port, or a connection closed at once, from silence.
func failedProbe(err error) ProbeResult {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return ProbeSilent
	}
	if errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) {
		return ProbeSilent
	}
	return ProbeRefused
}

func (w *watched) give(o Order) {
	timeout := orderTimeout
	switch o.Kind {
	case OrderPromote:
		timeout = w.promoteTimeout()
	case OrderFollow:
		timeout = followTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sentAt := time.Now()
	st, err := w.monitor.order(ctx, o)
	var stale *target.ErrStaleTerm
	ev := OrderDoneEvent{Order: o, Status: st, SentAt: sentAt}
	switch {
	case errors.As(err, &stale):
		ev.Result = OrderStale
	case err != nil:
		ev.Result = OrderUnknown
	}
	w.monitor.opts.Log.V(1).Info("failover order", "group", w.id, "order", o.Kind, "target", o.Target, "term", o.Term, "error", err)
	w.step(ev)
}

func (w *watched) promoteTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.times.PromoteTimeout
}

func (m *Monitor) order(ctx context.Context, o Order) (target.Status, error) {
	switch o.Kind {
	case OrderFence:
		return m.opts.Directory.Fence(ctx, o.Target, o.Term)
	case OrderPromote:
		return m.opts.Directory.Promote(ctx, o.Target, o.Term)
	default:
		return m.opts.Directory.Follow(ctx, o.Target, o.Term, o.Primary)
	}
}
