package relay

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/retry"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// reserveSettleTime is how long after its start a host has the least reserve. Hosts know
	// all others after about four seconds, and a reserve for few hosts would be too large.
	reserveSettleTime = 10 * time.Second
	// reserveCheckInterval is the time between two looks at the number of hosts.
	reserveCheckInterval = time.Second
	// budgetLineInterval is the time between two log lines about refused retries.
	budgetLineInterval = time.Second
	// forwardedPart is the part of what a first sending earns that goes to the host which
	// forwards a statement. The host that sends it to a target earns the rest.
	forwardedPart = 0.5
)

// retryKind is the kind of a retry, for metrics.
type retryKind string

const (
	retryTarget retryKind = "target" // the statement is sent to a target again
	retryHost   retryKind = "host"   // a further host is asked, or one after a target
)

// retryBudget is the budget of this host's retries. It is safe for concurrent use.
type retryBudget struct {
	enabled func() bool // nil: never
	hosts   func() int  // the number of hosts that this host sees; nil: only itself
	log     logr.Logger
	started time.Time

	mu          sync.Mutex
	budget      retry.Budget
	mostHosts   int // the most that were seen, since a host that is cut off sees few
	checkedAt   time.Time
	lineAt      time.Time // of the last log line
	refused     int       // retries since then
	config      *catalog.Configuration
	mostUrgent  int // the smallest priority of the routes of config
	gaugeExists bool
}

func newRetryBudget(opts *Options) *retryBudget {
	return &retryBudget{enabled: opts.RetryBudget, hosts: opts.Hosts, log: opts.Log, started: time.Now(), budget: retry.NewBudget(retry.MinReserve)}
}

func (b *retryBudget) on() bool { return b.enabled != nil && b.enabled() }

// updateReserve follows the number of hosts. The caller must hold b.mu.
func (b *retryBudget) updateReserve(now time.Time) {
	if !b.gaugeExists {
		b.gaugeExists = true
		metrics.GetOrCreateGauge("nettlewalk_retry_budget", func() float64 { return b.dump().Tokens })
	}
	if now.Sub(b.started) < reserveSettleTime || now.Sub(b.checkedAt) < reserveCheckInterval {
		return
	}
	b.checkedAt = now
	hosts := 1
	if b.hosts != nil {
		hosts = b.hosts()
	}
	if hosts > b.mostHosts {
		b.mostHosts = hosts
		b.budget.SetReserve(retry.HostReserve(hosts))
	}
}

// earn credits a part of what a first sending earns.
func (b *retryBudget) earn(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateReserve(time.Now())
	b.budget.DepositPart(part)
}

// covers reports whether the budget covers a retry of the route.
func (b *retryBudget) covers(route *catalog.Route, c *catalog.Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Covers(b.isUrgent(route, c))
}

// take charges a retry of the route, or refuses it.
func (b *retryBudget) take(route *catalog.Route, c *catalog.Configuration, kind retryKind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateReserve(time.Now())
	if !b.budget.Covers(b.isUrgent(route, c)) {
		b.countRefused(kind)
		return false
	}
	b.budget.Withdraw()
	b.countRetry(kind)
	return true
}

func (b *retryBudget) countRetry(kind retryKind) {
	metrics.GetOrCreateCounter(`nettlewalk_retries_total{kind="` + string(kind) + `"}`).Inc()
}

// prepay charges a retry that may not be needed. refund takes that back.
func (b *retryBudget) prepay(route *catalog.Route, c *catalog.Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateReserve(time.Now())
	ok := b.budget.Covers(b.isUrgent(route, c))
	if ok {
		b.budget.Withdraw()
	}
	return ok
}

func (b *retryBudget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Refund()
}

// isUrgent reports whether no route is more urgent. The caller must hold b.mu.
func (b *retryBudget) isUrgent(route *catalog.Route, c *catalog.Configuration) bool {
	if c != nil && c != b.config {
		b.config, b.mostUrgent = c, route.Priority
		for _, other := range c.Routes {
			b.mostUrgent = min(b.mostUrgent, other.Priority)
		}
	}
	return route.Priority <= b.mostUrgent
}

// noteRefused counts a retry that wasn't begun as the budget doesn't cover it.
func (b *retryBudget) noteRefused(kind retryKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countRefused(kind)
}

// countRefused counts a refused retry, and logs one line in a while. The caller must hold b.mu.
func (b *retryBudget) countRefused(kind retryKind) {
	metrics.GetOrCreateCounter(`nettlewalk_retries_refused_total{kind="` + string(kind) + `"}`).Inc()
	b.refused++
	now := time.Now()
	if now.Sub(b.lineAt) < budgetLineInterval {
		return
	}
	tokens, reserve := b.budget.Tokens()
	b.log.Info("retry refused by the budget", "kind", string(kind), "refused", b.refused, "tokens", tokens, "reserve", reserve, "hosts", b.mostHosts)
	b.lineAt, b.refused = now, 0
}

// RetriesDump is the state of the retry budget.
type RetriesDump struct {
	Tokens  float64 `json:"tokens"`
	Reserve float64 `json:"reserve"`
	Hosts   int     `json:"hosts"` // the most seen, 0 shortly after the start
}

func (b *retryBudget) dump() RetriesDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, reserve := b.budget.Tokens()
	return RetriesDump{Tokens: tokens, Reserve: reserve, Hosts: b.mostHosts}
}

// DumpRetries returns the state of the retry budget, nil if it isn't in force.
func (s *Server) DumpRetries() *RetriesDump {
	if !s.retries.on() {
		return nil
	}
	d := s.retries.dump()
	return &d
}

// earn credits a part of what the request's first sending earns. A request earns once in all.
func (r *request) earn(part float64) {
	if part = min(part, 1-r.earned); part <= 0 {
		return
	}
	r.earned += part
	r.session.server.retries.earn(part)
}

// earnInTransaction credits a statement of an open transaction.
func (r *request) earnInTransaction() {
	if !r.session.server.retries.on() {
		return
	}
	r.earn(1)
}

// earnedBefore returns the part that the host which forwarded a statement earns.
func earnedBefore(args *RunArgs) float64 {
	if args.Again {
		return 1
	}
	return forwardedPart
}

// wasSent reports whether the statement may have been sent to a target before.
func (r *request) wasSent() bool { return r.tries > 0 || r.mayHaveRun }

// chargeSending charges a sending to a target, or refuses it. The first sending earns.
func (r *request) chargeSending() bool {
	if !r.session.server.retries.on() {
		return true
	}
	if !r.wasSent() {
		r.earn(1)
		return true
	}
	if r.takeRetry(retryTarget) {
		return true
	}
	r.outOfBudget = true
	return false
}

// chargeAsking charges the sending to another host, or refuses it. Asking the first host
// earns a part unless a target got the statement before.
func (r *request) chargeAsking() bool {
	if !r.session.server.retries.on() {
		return true
	}
	switch {
	case len(r.askedHosts) == 0 && !r.wasSent():
		r.earn(forwardedPart)
		return true
	case r.prepaid:
		r.prepaid = false
		r.session.server.retries.countRetry(retryHost)
		return true
	}
	return r.takeRetry(retryHost)
}

// prepayAsking reports whether a further host may be asked after the next one. It charges that
// ahead: a host that is to serve the statement at once or refuse it is no use if no other host may
// be asked afterwards.
func (r *request) prepayAsking() bool {
	s := r.session.server
	if s.retries.on() && !r.prepaid {
		r.prepaid = s.retries.prepay(&r.route, s.opts.Catalog.Configuration())
	}
	return r.prepaid || !s.retries.on()
}

// refundPrepaid returns what wasn't used of prepayAsking.
func (r *request) refundPrepaid() {
	if r.prepaid {
		r.prepaid = false
		r.session.server.retries.refund()
	}
}

func (r *request) takeRetry(kind retryKind) bool {
	s := r.session.server
	if s.retries.take(&r.route, s.opts.Catalog.Configuration(), kind) {
		return true
	}
	r.noteRefusedRetry()
	return false
}

func (r *request) noteRefusedRetry() {
	if !r.budgetRefused {
		r.addStep("", "retry refused by the budget")
	}
	r.budgetRefused = true
}

// coversRetry reports whether the budget covers a retry now.
func (r *request) coversRetry() bool {
	s := r.session.server
	return !s.retries.on() || s.retries.covers(&r.route, s.opts.Catalog.Configuration())
}

// budgetSpent reports whether the request may not be sent again for lack of budget. The
// sending itself is charged by chargeSending.
func (r *request) budgetSpent() bool {
	if r.outOfBudget || !r.wasSent() || r.coversRetry() {
		return r.outOfBudget
	}
	r.outOfBudget = true
	r.session.server.retries.noteRefused(retryTarget)
	r.noteRefusedRetry()
	return true
}

// budgetDetail explains a refusal for lack of budget.
const budgetDetail = "no target served the statement, and the retry budget is spent"

// budgetRefusal returns the answer to a statement that isn't sent again for lack of budget.
func (r *request) budgetRefusal() statement.Answer {
	return r.session.refusal(statement.Busy, budgetDetail)
}

// finalAnswer returns the answer for the caller. A failed answer stands if the read got no
// better one elsewhere. If the budget refused a retry, a statement that may have run isn't
// refused as not run.
func (r *request) finalAnswer(a statement.Answer) statement.Answer {
	switch {
	case a.OK():
		return a
	case r.failedAnswer != nil:
		return *r.failedAnswer
	case !a.Code.NotRun():
		return a
	}
	if r.outOfBudget {
		a = r.budgetRefusal()
	}
	if r.budgetRefused && r.mayHaveRun {
		a.Code = statement.InDoubt
	}
	return a
}

// retriesFailedRead reports whether a read that the target failed is sent to another one.
// The target's failure may be its own, and a read may run twice.
func (r *request) retriesFailedRead(id topology.TargetID, after topology.Position) bool {
	if !r.session.server.retries.on() || r.failedAnswer != nil || !r.coversRetry() {
		return false
	}
	for _, c := range r.group.ReadersFor(after, r.session.customer) {
		if c.ID != id && r.isUntried(c) && !c.HeldOff && !c.Lagging && c.Idle > 0 {
			return true
		}
	}
	return false
}

// splitHeldOff divides the targets into those to try first, and those from which the read is
// held off.
func splitHeldOff(targets []group.Choice) (preferred, heldOff []group.Choice) {
	for i := range targets {
		if targets[i].HeldOff {
			heldOff = append(heldOff, targets[i])
		}
	}
	if len(heldOff) == 0 || len(heldOff) == len(targets) {
		return targets, nil
	}
	for i := range targets {
		if !targets[i].HeldOff {
			preferred = append(preferred, targets[i])
		}
	}
	return preferred, heldOff
}

// isPreferred reports whether a read may be tried at the target and isn't held off from it.
func (r *request) isPreferred(c group.Choice) bool { return r.isUntried(c) && !c.HeldOff }
