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
	Peers   peer.Caller            // nil: this host is alone
	Hosts   func() []topology.Host // nil: this host is alone
	Metrics *metrics.Set           // nil: none are kept
}

// key names an account.
type key struct {
	customer topology.CustomerID
	group    topology.GroupID
}

// entry is an account and the statements that wait, the oldest first.
type entry struct {
	account *Account
	whole   customer.Limits // of the fleet
	share   float64
	waiters []chan struct{} // closed to let the statement run
}

// Limiter admits, delays and refuses statements. Safe for concurrent use.
type Limiter struct {
	opts Options

	mu      sync.Mutex
	hosts   int
	entries map[key]*entry
	demands map[key]map[topology.HostID]told // told to this host as coordinator
}

// New returns a limiter with equal shares among the hosts known now.
func New(opts Options) *Limiter {
	l := &Limiter{opts: opts, entries: map[key]*entry{}, demands: map[key]map[topology.HostID]told{}}
	l.hosts = len(l.liveHosts())
	return l
}

// Acquire admits a statement, or waits in the customer's queue until it may
// run. caller is the memory of the connection, nil if there is none. release must be called once when the statement has ended. An error is
// of code LimitReached, QueueFull, DeadlineTooClose, DeadlinePassed or
// Canceled: nothing ran. Statements of an open transaction need no admission.
func (l *Limiter) Acquire(ctx context.Context, caller *Caller, c *customer.Customer, group topology.GroupID) (release func(), err error) {
	if caller == nil {
		caller = &Caller{}
	}
	k := key{c.ID, group}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(maxRetryAfter)
	}
	l.mu.Lock()
	e := l.entry(k, c.Limits)
	decision, refusal := e.account.Arrive(caller, now, deadline)
	if decision == Refused {
		l.mu.Unlock()
		l.count(refusal.Code)
		return nil, refusal
	}
	if decision == Admitted {
		l.mu.Unlock()
		return l.releaser(e, now), nil
	}
	turn := make(chan struct{})
	e.waiters = append(e.waiters, turn)
	l.mu.Unlock()
	return l.wait(ctx, e, turn)
}

// Admit is Acquire for callers that don't wait: with no room at once the
// statement is refused.
func (l *Limiter) Admit(c *customer.Customer, group topology.GroupID, now time.Time) (release func(), err *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(key{c.ID, group}, c.Limits)
	if _, refusal := e.account.Arrive(&Caller{}, now, time.Time{}); refusal != nil {
		l.count(refusal.Code)
		return nil, refusal
	}
	return l.releaser(e, now), nil
}

// entry returns the customer's account under its present limits.
func (l *Limiter) entry(k key, whole customer.Limits) *entry {
	e := l.entries[k]
	if e == nil {
		share := equalShare(l.hosts)
		e = &entry{account: NewAccount(whole, share), whole: whole, share: share}
		l.entries[k] = e
	}
	if e.whole != whole {
		e.whole = whole
		e.account.SetLimits(whole, e.share)
		l.startWaiting(e)
	}
	return e
}

// wait returns when the statement's turn comes or ctx ends.
func (l *Limiter) wait(ctx context.Context, e *entry, turn chan struct{}) (func(), error) {
	select {
	case <-turn:
		return l.releaser(e, time.Now()), nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiter := range e.waiters {
		if waiter == turn {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			e.account.GiveUp()
			return nil, ended(ctx)
		}
	}
	return l.releaser(e, time.Now()), nil // its turn came at the same time
}

func ended(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return result.New(result.Canceled, "canceled in the customer's queue")
	}
	return result.New(result.DeadlinePassed, "the deadline passed in the customer's queue")
}

// releaser returns the function that ends a statement which began at a time.
func (l *Limiter) releaser(e *entry, began time.Time) func() {
	return sync.OnceFunc(func() {
		took := time.Since(began)
		l.mu.Lock()
		defer l.mu.Unlock()
		if e.account.Done(took) {
			l.startWaiting(e)
		}
	})
}

// startWaiting lets waiting statements run while there is room.
func (l *Limiter) startWaiting(e *entry) {
	for len(e.waiters) > 0 && e.account.running < e.account.limits.Concurrent {
		turn := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.account.Start()
		close(turn)
	}
}

func (l *Limiter) count(code result.Code) {
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
