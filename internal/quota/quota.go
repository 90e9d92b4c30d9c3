package quota

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Options configures a Quota.
type Options struct {
	Self   topology.HostID
	Domain topology.Domain
	Peers  peer.Caller
	// Hosts returns the live hosts, this one included, and a version that changes with
	// them.
	Hosts func() ([]topology.Host, uint64)
	// Reach returns the votes of the hosts that this host is in contact with.
	Reach         func() gossip.Reach
	Configuration func() *catalog.Configuration
	Bounds        Bounds
	Now           func() time.Time // nil: steady.Now
	Log           logr.Logger
}

const (
	// buyTimeout limits one request for tokens. A round trip takes 2 ms; a small host
	// under load adds some tens, and a moment in which many are busy adds more. With 50 ms,
	// such a moment made deputies take over from most coordinators, with nearly empty ledgers.
	buyTimeout = 120 * time.Millisecond
	// relayTimeout is that of a request that is passed on while its sender waits.
	relayTimeout = 100 * time.Millisecond
	// maxWait limits how long an operation waits for tokens: for the coordinator, and for
	// a deputy that asks the coordinator.
	maxWait = buyTimeout + relayTimeout + 20*time.Millisecond
	// probeInterval is the time between checks of a host that didn't answer. It isn't
	// asked for tokens until it answers one: each attempt would cost an operation
	// buyTimeout.
	probeInterval = 1 * time.Second
	probeTimeout  = 200 * time.Millisecond
	// cedeInterval is the time between two notes of a deputy to the coordinator for which
	// it stands in, and cedePeriod how long each counts. cedeTimeout allows for a
	// coordinator that is slow.
	cedeInterval = 300 * time.Millisecond
	cedePeriod   = 1200 * time.Millisecond
	cedeTimeout  = 1 * time.Second
	// reachMaxAge is how long the votes are used after they were counted. Gossip notices
	// a loss of contact after 800 ms.
	reachMaxAge = 100 * time.Millisecond
	// reachRaiseDelay is how long this host must have been in contact with more votes
	// before it sells with them. Hosts that come into contact again may have bought from
	// others until then, who are told to stop by the first host that changes.
	reachRaiseDelay = 600 * time.Millisecond
	// takeOverWait is how long a sale waits for the tokens of the host that sold before. A
	// round trip takes 2 ms; a small host under load adds some tens.
	takeOverWait = 40 * time.Millisecond
	// yieldPeriod is how long a host passes requests on to one that told it to stop. Lists
	// of hosts that are in contact agree after one or two seconds.
	yieldPeriod   = 2 * time.Second
	pruneInterval = 5 * time.Second // between removals of idle wallets and ledgers
	// avoidanceMaxAge is how long after a check of a host was due its silence still counts.
	// Hosts are checked only if they are wanted. Without a limit, a host that nobody wanted
	// since a partition ended was avoided, and its deputies took over with empty ledgers.
	avoidanceMaxAge = 2 * time.Second
	// avoidedRetention is how long a host that didn't answer is remembered after a check
	// was due without anybody wanting the host.
	avoidedRetention = 30 * time.Second
	// stopInterval is the least time between two requests to the same host to stop
	// selling a customer's tokens.
	stopInterval = 1 * time.Second
	// stoppedRetention is how long it is remembered which host was asked to stop. Hosts
	// don't report an earlier seller for longer.
	stoppedRetention = previousPeriod + stopInterval
	// refusalLinesPerSecond and refusalLinesBurst limit the log lines about refusals.
	refusalLinesPerSecond = 1
	refusalLinesBurst     = 10
)

// Quota admits operations under their customers' limits, and sells tokens to other hosts.
// It is safe for concurrent use.
type Quota struct {
	opts     Options
	logLimit *rate.Limiter

	mu       sync.Mutex
	accounts map[topology.CustomerID]*account
	avoided  map[topology.HostID]*avoidance // hosts that didn't answer
	prunedAt time.Time
	index    *fleet.Index
	indexed  uint64                          // version of the hosts in index
	chosen   map[topology.CustomerID]sellers // from index

	yielded map[topology.CustomerID]yielding
	ledgers [roles]map[topology.CustomerID]*seller
	votes   votes
}

// yielding tells which host sells a customer's tokens instead of this one, although this
// one's list of hosts may not show that yet.
type yielding struct {
	to    topology.HostID
	until time.Time
}

// avoidance is the state of a host that didn't answer.
type avoidance struct {
	probing bool
	probeAt time.Time // when it is checked next, if it is wanted
}

// account is a customer's wallet with the operations that wait for tokens.
type account struct {
	*Wallet
	buying  bool
	waiters []chan bool // gets whether the operation is admitted; buffered
}

// seller is a ledger with the hosts that were asked to stop selling.
type seller struct {
	*Ledger
	stopped map[topology.HostID]*stopping
	// handOver is closed when the last host that was told to stop answered, or didn't in
	// time; nil: none is being told.
	handOver chan struct{}
	begun    bool                        // its level isn't held back for an earlier seller's tokens
	ceded    map[topology.HostID]cession // votes with which other hosts stand in for this one
	cededAt  time.Time                   // when this host, standing in, last told the coordinator
}

// stopping is the state of another host that sold the customer's tokens before.
type stopping struct {
	at   time.Time // when the ledger took its sales into account
	told bool      // it was told to stop, or is being told
}

// cession is a number of votes that another host sells with.
type cession struct {
	domain   topology.Domain
	votes    float64
	until    time.Time
	stopping bool // the other host is being told to stop
}

// New returns a Quota without tokens.
func New(opts Options) *Quota {
	if opts.Now == nil {
		opts.Now = steady.Now
	}
	q := &Quota{opts: opts, logLimit: rate.NewLimiter(refusalLinesPerSecond, refusalLinesBurst), accounts: map[topology.CustomerID]*account{}, avoided: map[topology.HostID]*avoidance{}, yielded: map[topology.CustomerID]yielding{}}
	for r := range q.ledgers {
		q.ledgers[r] = map[topology.CustomerID]*seller{}
	}
	return q
}

// Admission is an admitted operation.
type Admission struct {
	quota    *Quota
	customer topology.CustomerID
}

// Credit returns the token of an operation that certainly didn't run.
func (a *Admission) Credit() {
	if a == nil {
		return
	}
	creditedCounter.Inc()
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	if e := a.quota.accounts[a.customer]; e != nil {
		e.Credit()
	}
}

// Admit decides whether an operation of a customer may run. If it has to wait for
// tokens, it waits until the deadline at most. The Admission of a customer without a
// limit is nil. If ok is false, the caller should retry after retryAfter.
func (q *Quota) Admit(id topology.CustomerID, deadline time.Time) (a *Admission, retryAfter time.Duration, ok bool) {
	c := q.opts.Configuration()
	if c == nil {
		return nil, 0, true
	}
	customer, known := c.Customers[id]
	if !known || customer.Rate <= 0 || q.opts.Bounds.Window <= 0 {
		return nil, 0, true
	}
	now := q.opts.Now()
	q.mu.Lock()
	e := q.account(id, now)
	e.SetLimit(Limit{Rate: customer.Rate, Burst: customer.Burst}, c.Version, now)
	switch e.Admit(now) {
	case Admitted:
		if !e.buying && e.ShouldRefill(now) {
			q.startPurchase(id, e)
		}
		q.mu.Unlock()
		admittedCounter.Inc()
		return &Admission{quota: q, customer: id}, 0, true
	case Refused:
		defer q.mu.Unlock()
		return nil, q.refuse(id, e, refusedLimit, now), false
	}
	waiter := make(chan bool, 1)
	e.waiters = append(e.waiters, waiter)
	if !e.buying {
		q.startPurchase(id, e)
	}
	q.mu.Unlock()
	return q.await(id, e, waiter, deadline)
}

// await waits until a purchase admits or refuses the operation.
func (q *Quota) await(id topology.CustomerID, e *account, waiter chan bool, deadline time.Time) (*Admission, time.Duration, bool) {
	waitedCounter.Inc()
	timer := time.NewTimer(min(maxWait, time.Until(deadline)))
	defer timer.Stop()
	admitted, timedOut := false, false
	select {
	case admitted = <-waiter:
	case <-timer.C:
		timedOut = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if timedOut {
		admitted = q.leave(e, waiter)
	}
	if admitted {
		admittedCounter.Inc()
		return &Admission{quota: q, customer: id}, 0, true
	}
	reason := refusedLimit
	if timedOut {
		reason = refusedNoAnswer
	}
	return nil, q.refuse(id, e, reason, q.opts.Now()), false
}

// leave removes a waiter, or returns the answer that it got at the same moment.
func (q *Quota) leave(e *account, waiter chan bool) (admitted bool) {
	for i, w := range e.waiters {
		if w == waiter {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return false
		}
	}
	return <-waiter
}

// refuse records a refusal and returns when its caller should retry. The caller holds q.mu.
func (q *Quota) refuse(id topology.CustomerID, e *account, reason refusalReason, now time.Time) time.Duration {
	refusedCounters[reason].Inc()
	retryAfter := e.RetryAfter(now)
	if q.logLimit.AllowN(now, 1) {
		q.opts.Log.Info("operation refused by the rate limit", "customer", id, "reason", string(reason), "rate", e.limit.Rate, "burst", e.limit.Burst,
			"tokens", e.tokens, "demand", e.demand, "seller", e.seller, "bought_ms_ago", now.Sub(e.soldAt).Milliseconds(),
			"limit_version", e.version, "limit_ms_ago", now.Sub(e.limitAt).Milliseconds(), "retry_after_ms", retryAfter.Milliseconds())
	}
	return retryAfter
}

// account returns the customer's account. The caller holds q.mu.
func (q *Quota) account(id topology.CustomerID, now time.Time) *account {
	q.prune(now)
	e := q.accounts[id]
	if e == nil {
		e = &account{Wallet: NewWallet(uint64(time.Now().UnixNano()))}
		q.accounts[id] = e
	}
	return e
}

// prune removes idle accounts and ledgers. The caller holds q.mu.
func (q *Quota) prune(now time.Time) {
	if now.Sub(q.prunedAt) < pruneInterval {
		return
	}
	q.prunedAt = now
	for id, e := range q.accounts {
		if !e.buying && len(e.waiters) == 0 && e.Idle(now) {
			delete(q.accounts, id)
		}
	}
	for _, ledgers := range q.ledgers {
		for id, s := range ledgers {
			if s.Idle(now) {
				delete(ledgers, id)
				continue
			}
			for host, stop := range s.stopped {
				if now.Sub(stop.at) > stoppedRetention {
					delete(s.stopped, host)
				}
			}
		}
	}
	for id, y := range q.yielded {
		if !now.Before(y.until) {
			delete(q.yielded, id)
		}
	}
	for id, a := range q.avoided {
		if !a.probing && now.Sub(a.probeAt) > avoidedRetention {
			delete(q.avoided, id)
		}
	}
}

// startPurchase begins to buy tokens. The caller holds q.mu.
func (q *Quota) startPurchase(id topology.CustomerID, e *account) {
	e.buying = true
	go q.purchase(id, e)
}

// purchase buys tokens until no operation waits for them.
func (q *Quota) purchase(id topology.CustomerID, e *account) {
	for {
		q.buyOnce(id, e)
		q.mu.Lock()
		now := q.opts.Now()
		for len(e.waiters) > 0 && e.Spend(now) {
			e.waiters[0] <- true
			e.waiters = e.waiters[1:]
		}
		e.Trim()
		if len(e.waiters) == 0 || e.Blocked(now) {
			for _, w := range e.waiters {
				w <- false
			}
			e.waiters, e.buying = nil, false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
	}
}

// buyOnce asks the sellers in turn until one answers.
func (q *Quota) buyOnce(id topology.CustomerID, e *account) {
	q.mu.Lock()
	now := q.opts.Now()
	s := q.sellersFor(id)
	var order []topology.HostID
	for _, host := range append([]topology.HostID{s.coordinator}, s.deputies...) {
		if host == q.opts.Self || host != "" && !q.avoids(host, now) {
			order = append(order, host)
		}
	}
	q.mu.Unlock()
	for _, host := range order {
		if q.buyFrom(id, e, host, false) {
			return
		}
	}
	q.buyFrom(id, e, q.opts.Self, true)
}

// buyFrom asks one seller. It returns false if it got no answer.
func (q *Quota) buyFrom(id topology.CustomerID, e *account, host topology.HostID, isAlone bool) bool {
	q.mu.Lock()
	sentAt := q.opts.Now()
	request, previous := e.Request(host, len(e.waiters), sentAt)
	args := &BuyArgs{PreviousAge: sentAt.Sub(e.soldAt), From: q.opts.Self, Domain: q.opts.Domain, Customer: id, Request: request, Previous: previous, PreviousBegan: e.began, Alone: isAlone, Limit: e.limit, Version: e.version}
	q.mu.Unlock()
	var reply BuyReply
	var err error
	if host == q.opts.Self {
		q.sell(args, &reply)
	} else {
		purchaseCounter.Inc()
		err = q.call(host, buyMethod, args, &reply, buyTimeout)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil || reply.Seller == "" {
		return false
	}
	now := q.opts.Now()
	e.Add(reply.Seller, reply.Grant, reply.Limit, reply.Version, sentAt, now)
	return true
}

// call calls another host, and avoids it if it doesn't answer.
func (q *Quota) call(host topology.HostID, method string, args, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := q.opts.Peers.Call(ctx, host, method, args, reply)
	if err != nil {
		unansweredCounter.Inc()
		q.opts.Log.V(1).Info("no answer from a seller of tokens", "host", host, "method", method, "error", err.Error())
		q.mu.Lock()
		q.avoided[host] = &avoidance{probeAt: q.opts.Now().Add(probeInterval)}
		q.mu.Unlock()
	}
	return err
}

// avoids reports whether the host didn't answer and hasn't since. It checks the host
// again if that is due. The caller holds q.mu.
func (q *Quota) avoids(host topology.HostID, now time.Time) bool {
	a := q.avoided[host]
	if a == nil {
		return false
	}
	if !a.probing && now.Sub(a.probeAt) > avoidanceMaxAge {
		delete(q.avoided, host)
		return false
	}
	if !a.probing && !now.Before(a.probeAt) {
		a.probing = true
		go q.probe(host)
	}
	return true
}

// probe checks whether a host answers again.
func (q *Quota) probe(host topology.HostID) {
	if q.call(host, pingMethod, &PingArgs{From: q.opts.Self}, &Confirmation{}, probeTimeout) == nil {
		q.mu.Lock()
		delete(q.avoided, host)
		q.mu.Unlock()
	}
}

// sellersFor returns the customer's sellers. The caller holds q.mu.
func (q *Quota) sellersFor(id topology.CustomerID) sellers {
	hosts, version := q.opts.Hosts()
	if q.index == nil || version != q.indexed {
		q.index, q.indexed, q.chosen = fleet.NewIndex(hosts), version, map[topology.CustomerID]sellers{}
	}
	s, ok := q.chosen[id]
	if !ok {
		s = chooseSellers(q.index, id, q.opts.Domain)
		q.chosen[id] = s
	}
	return s
}
