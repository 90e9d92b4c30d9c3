package limit

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Options configures a Limiter.
type Options struct {
	Self    topology.HostID
	Peers   peer.Caller            // nil for a single host
	Hosts   func() []topology.Host // nil for a single host
	Metrics *metrics.Set           // nil disables metrics
}

// accountKey identifies an account.
type accountKey struct {
	customer topology.CustomerID
	group    topology.GroupID
}

// entry is an account and its queue of waiting statements, oldest first.
type entry struct {
	account     *Account
	fleetLimits customer.Limits // the customer's limits for the whole fleet
	share       float64
	waiters     []chan struct{} // a channel is closed when its statement may run
}

// Limiter admits, queues or refuses statements. Safe for concurrent use.
type Limiter struct {
	opts Options

	mu        sync.Mutex
	hostCount int
	entries   map[accountKey]*entry
	demands   map[accountKey]map[topology.HostID]reportedDemand // received by this host as coordinator
}

// New returns a Limiter that starts with an equal share for each live host.
func New(opts Options) *Limiter {
	l := &Limiter{opts: opts, entries: map[accountKey]*entry{}, demands: map[accountKey]map[topology.HostID]reportedDemand{}}
	l.hostCount = len(l.liveHosts())
	return l
}

// Acquire admits a statement, if necessary after a wait in the customer's queue.
// retry is the retry state of the connection; it may be nil. The caller must call
// release when the statement has ended. An error has code LimitReached, QueueFull,
// DeadlineTooClose, DeadlinePassed or Canceled and means that the statement must
// not run. Statements of an open transaction need no admission.
func (l *Limiter) Acquire(ctx context.Context, retry *RetryState, c *customer.Customer, group topology.GroupID) (release func(), err error) {
	if retry == nil {
		retry = &RetryState{}
	}
	k := accountKey{c.ID, group}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(maxRetryAfter)
	}
	l.mu.Lock()
	e := l.entryFor(k, c.Limits)
	decision, refusal := e.account.Admit(retry, now, deadline)
	if decision == Refused {
		l.mu.Unlock()
		l.countRefusal(refusal.Code)
		return nil, refusal
	}
	if decision == Admitted {
		l.mu.Unlock()
		return l.releaseFunc(e, now), nil
	}
	turn := make(chan struct{})
	e.waiters = append(e.waiters, turn)
	l.mu.Unlock()
	return l.waitInQueue(ctx, e, turn)
}

// Admit is like Acquire but does not wait: a statement that cannot run immediately
// is refused.
func (l *Limiter) Admit(c *customer.Customer, group topology.GroupID, now time.Time) (release func(), err *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entryFor(accountKey{c.ID, group}, c.Limits)
	if _, refusal := e.account.Admit(&RetryState{}, now, time.Time{}); refusal != nil {
		l.countRefusal(refusal.Code)
		return nil, refusal
	}
	return l.releaseFunc(e, now), nil
}

// entryFor returns the entry of an account, created if necessary, after applying
// changed limits.
func (l *Limiter) entryFor(k accountKey, fleetLimits customer.Limits) *entry {
	e := l.entries[k]
	if e == nil {
		share := equalShare(l.hostCount)
		e = &entry{account: NewAccount(fleetLimits, share), fleetLimits: fleetLimits, share: share}
		l.entries[k] = e
	}
	if e.fleetLimits != fleetLimits {
		e.fleetLimits = fleetLimits
		e.account.SetLimits(fleetLimits, e.share)
		l.startQueued(e)
	}
	return e
}

// waitInQueue waits until the statement may run or ctx is done.
func (l *Limiter) waitInQueue(ctx context.Context, e *entry, turn chan struct{}) (func(), error) {
	select {
	case <-turn:
		return l.releaseFunc(e, time.Now()), nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiter := range e.waiters {
		if waiter == turn {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			e.account.LeaveQueue()
			return nil, queueError(ctx)
		}
	}
	return l.releaseFunc(e, time.Now()), nil // the statement was started while ctx ended
}

// queueError returns the error of a statement whose ctx ended in the queue.
func queueError(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return result.New(result.Canceled, "canceled while waiting in the customer's queue")
	}
	return result.New(result.DeadlinePassed, "deadline passed while waiting in the customer's queue")
}

// releaseFunc returns the function to call once when a statement that started at
// began has ended.
func (l *Limiter) releaseFunc(e *entry, began time.Time) func() {
	return sync.OnceFunc(func() {
		took := time.Since(began)
		l.mu.Lock()
		defer l.mu.Unlock()
		if e.account.Finish(took) {
			l.startQueued(e)
		}
	})
}

// startQueued starts waiting statements up to the concurrency limit.
func (l *Limiter) startQueued(e *entry) {
	for len(e.waiters) > 0 && e.account.running < e.account.limits.Concurrent {
		turn := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.account.StartQueued()
		close(turn)
	}
}

// countRefusal counts a refused statement by its reason.
func (l *Limiter) countRefusal(code result.Code) {
	if l.opts.Metrics == nil {
		return
	}
	switch code {
	case result.QueueFull:
		l.opts.Metrics.GetOrCreateCounter(`nettlewalk_limit_refused_total{reason="queue"}`).Inc()
	case result.DeadlineTooClose:
		l.opts.Metrics.GetOrCreateCounter(`nettlewalk_limit_refused_total{reason="deadline"}`).Inc()
	default:
		l.opts.Metrics.GetOrCreateCounter(`nettlewalk_limit_refused_total{reason="limit"}`).Inc()
	}
}
