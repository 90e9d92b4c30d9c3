package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// GroupState is what the hosts that watch a group's failover know.
type GroupState interface {
	// State returns the highest term known and its primary.
	State(group topology.GroupID) (term uint64, primary topology.TargetID, ok bool)
	// Learn takes a term and its primary from a target's answer.
	Learn(group topology.GroupID, term uint64, primary topology.TargetID)
}

// Config is what a router is made of.
type Config struct {
	Self      topology.HostID
	Boot      uint64 // of this process
	Domain    topology.Domain
	Customers customer.View
	Fleet     fleet.View
	Executor  func(topology.HostID) pool.Executor // the local pool for Self, a remote one for others
	State     GroupState
	Floors    Floors
	Log       logr.Logger
}

// PlainRouter implements Router.
type PlainRouter struct {
	cfg   Config
	seq   atomic.Uint64 // of streams
	stats *stats

	avoided avoided

	mu     sync.Mutex // guards the fields below
	groups map[topology.GroupID]*group
	budget Budget
}

// New returns a router.
func New(cfg Config) *PlainRouter {
	return &PlainRouter{
		cfg:    cfg,
		stats:  newStats(),
		groups: make(map[topology.GroupID]*group),
		budget: NewBudget(),
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

func (r *PlainRouter) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Earn()
}

func (r *PlainRouter) budgetAllows() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Allows()
}

func (r *PlainRouter) spend() {
	r.stats.retries.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Spend()
}

// view returns what is known of the group now. It has no candidates while the
// configuration lacks the group.
func (r *PlainRouter) view(g *group) GroupView {
	published, ok := r.cfg.Customers.Group(g.id)
	if !ok {
		return GroupView{}
	}
	if term, primary, ok := r.cfg.State.State(g.id); ok {
		g.learnPrimary(term, primary)
	}
	g.learnPrimary(published.Term, published.Primary)
	return g.view(published, r.holders, r.cfg.Domain, time.Now())
}

func (r *PlainRouter) holders(t topology.Target) []Holder {
	ids := r.cfg.Fleet.Holders(t)
	holders := make([]Holder, len(ids))
	for i, id := range ids {
		holders[i] = Holder{Host: id, Local: id == r.cfg.Self, Gone: r.gone(id)}
	}
	return holders
}

func (r *PlainRouter) gone(id topology.HostID) bool {
	h, known := r.cfg.Fleet.Host(id)
	return (known && h.State == topology.HostGone) || r.avoided.has(id, time.Now())
}

// noteReached takes an answer as a sign of life.
func (r *PlainRouter) noteReached(id topology.HostID) {
	if id == r.cfg.Self {
		return
	}
	r.avoided.forget(id)
	r.cfg.Fleet.Report(id, true)
}

// noteUnreached takes a failed call.
func (r *PlainRouter) noteUnreached(id topology.HostID) {
	if id == r.cfg.Self {
		return
	}
	r.avoided.note(id, time.Now())
	r.cfg.Fleet.Report(id, false)
}

// noteLeaving moves the slots of a host that refused because it is leaving.
func (r *PlainRouter) noteLeaving(id topology.HostID) {
	if f, ok := r.cfg.Fleet.(interface{ NoteLeaving(topology.HostID) }); ok {
		f.NoteLeaving(id)
	}
}

func (r *PlainRouter) newStream() pool.StreamID {
	return pool.StreamID{Host: r.cfg.Self, Boot: r.cfg.Boot, Seq: r.seq.Add(1)}
}

func (r *PlainRouter) costShare(id topology.CustomerID) float64 {
	if c, ok := r.cfg.Customers.Customer(id); ok && c.CostShare > 0 {
		return c.CostShare
	}
	return 1
}

var _ Router = (*PlainRouter)(nil)
