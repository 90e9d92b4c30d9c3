package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/retry"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// GroupState provides the failover state of groups as known to the hosts that
// monitor them.
type GroupState interface {
	// CurrentPrimary returns the highest known term and its primary.
	CurrentPrimary(group topology.GroupID) (term uint64, primary topology.TargetID, ok bool)
	// LearnPrimary records a term and its primary from a target's response.
	LearnPrimary(group topology.GroupID, term uint64, primary topology.TargetID)
}

// Config holds the settings and dependencies of a router.
type Config struct {
	Self      topology.HostID
	Boot      uint64 // boot ID of this process
	Domain    topology.Domain
	Customers customer.View
	Fleet     fleet.View
	Executor  func(topology.HostID) pool.Executor // returns the local pool for Self and a remote pool for other hosts
	State     GroupState
	Floors    Floors
	Log       logr.Logger
}

// PlainRouter implements Router without admission control.
type PlainRouter struct {
	cfg           Config
	lastStreamSeq atomic.Uint64 // sequence number of the latest stream
	stats         *stats

	unreachable unreachableHosts

	mu          sync.Mutex // guards the fields below
	groups      map[topology.GroupID]*group
	retryBudget retry.Budget
}

// New returns a router with the given configuration.
func New(cfg Config) *PlainRouter {
	return &PlainRouter{
		cfg:         cfg,
		stats:       newStats(),
		groups:      make(map[topology.GroupID]*group),
		retryBudget: NewRetryBudget(),
	}
}

// Open implements Router.
func (r *PlainRouter) Open(customer topology.CustomerID, group topology.GroupID) Conn {
	return &conn{router: r, customer: customer, group: r.group(group)}
}

func (r *PlainRouter) group(id topology.GroupID) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.groups[id]
	if !ok {
		g = newGroup(id)
		r.groups[id] = g
	}
	return g
}

func (r *PlainRouter) depositRetryBudget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget.Deposit()
}

// retryAllowed reports whether the retry budget covers a retry.
func (r *PlainRouter) retryAllowed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget.Available()
}

// recordRetry counts a retry and charges it to the retry budget.
func (r *PlainRouter) recordRetry() {
	r.stats.retries.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget.Withdraw()
}

// view returns a snapshot of what is known about the group. It has no
// candidates if the configuration lacks the group.
func (r *PlainRouter) view(g *group) GroupView {
	configured, ok := r.cfg.Customers.Group(g.id)
	if !ok {
		return GroupView{}
	}
	if term, primary, ok := r.cfg.State.CurrentPrimary(g.id); ok {
		g.observePrimary(term, primary)
	}
	g.observePrimary(configured.Term, configured.Primary)
	return g.view(configured, r.holders, r.cfg.Domain, time.Now())
}

func (r *PlainRouter) holders(t topology.Target) []Holder {
	ids := r.cfg.Fleet.Holders(t)
	holders := make([]Holder, len(ids))
	for i, id := range ids {
		holders[i] = Holder{Host: id, Local: id == r.cfg.Self, Unreachable: r.hostUnreachable(id)}
	}
	return holders
}

func (r *PlainRouter) hostUnreachable(id topology.HostID) bool {
	h, known := r.cfg.Fleet.Host(id)
	return (known && h.State == topology.HostGone) || r.unreachable.contains(id, time.Now())
}

// recordReachable records that a host answered.
func (r *PlainRouter) recordReachable(id topology.HostID) {
	if id == r.cfg.Self {
		return
	}
	r.unreachable.remove(id)
	r.cfg.Fleet.RecordCall(id, true)
}

// recordUnreachable records that a call to a host failed.
func (r *PlainRouter) recordUnreachable(id topology.HostID) {
	if id == r.cfg.Self {
		return
	}
	r.unreachable.add(id, time.Now())
	r.cfg.Fleet.RecordCall(id, false)
}

// recordLeaving records that a host refused a request because it is leaving, so
// that its slots move to other hosts.
func (r *PlainRouter) recordLeaving(id topology.HostID) {
	if f, ok := r.cfg.Fleet.(interface{ NoteLeaving(topology.HostID) }); ok {
		f.NoteLeaving(id)
	}
}

func (r *PlainRouter) newStream() pool.StreamID {
	return pool.StreamID{Host: r.cfg.Self, Boot: r.cfg.Boot, Seq: r.lastStreamSeq.Add(1)}
}

func (r *PlainRouter) costShare(id topology.CustomerID) float64 {
	if c, ok := r.cfg.Customers.Customer(id); ok && c.CostShare > 0 {
		return c.CostShare
	}
	return 1
}

var _ Router = (*PlainRouter)(nil)
