package failover

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Publisher records the primaries of groups at the platform.
type Publisher interface {
	// PublishGroup records primary at term unless a higher term is recorded.
	PublishGroup(ctx context.Context, group topology.GroupID, term uint64, primary topology.TargetID) error
}

// Options configures a Monitor.
type Options struct {
	Self      topology.HostID
	Directory target.Directory
	Caller    peer.Caller
	// Group returns the published state of a group.
	Group func(topology.GroupID) (*topology.Group, bool)
	// Peers returns the hosts that hold a slot of the group's targets.
	Peers func(*topology.Group) []topology.HostID
	// Policy returns when the group's commits are confirmed; nil means AckMajority.
	Policy    func(topology.GroupID) customer.AckMode
	Publisher Publisher       // nil disables publishing
	Dial      target.DialFunc // for probes; nil means a plain TCP dialer
	Log       logr.Logger
}

// Monitor confirms commits, and replaces failed primaries in the groups of which
// this host holds a slot. It is safe for concurrent use.
type Monitor struct {
	opts      Options
	publisher *publisher

	mu               sync.Mutex // guards the fields below; acquired before a watchedGroup's mutex, never while holding one
	watched          map[topology.GroupID]*watchedGroup
	pollers          map[topology.GroupID]*poller
	learnedPrimaries map[topology.GroupID]knownPrimary // of groups that are not watched
	groupOf          map[topology.TargetID]topology.GroupID
}

// New returns a Monitor that does not watch any group yet.
func New(opts Options) *Monitor {
	if opts.Policy == nil {
		opts.Policy = func(topology.GroupID) customer.AckMode { return customer.AckMajority }
	}
	return &Monitor{
		opts:             opts,
		publisher:        newPublisher(opts.Publisher, opts.Log),
		watched:          map[topology.GroupID]*watchedGroup{},
		pollers:          map[topology.GroupID]*poller{},
		learnedPrimaries: map[topology.GroupID]knownPrimary{},
		groupOf:          map[topology.TargetID]topology.GroupID{},
	}
}

// Run sends ticks to the machines and publishes changes of primary until ctx is
// done.
func (m *Monitor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { m.publisher.run(ctx) })
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.tickAll()
		}
	}
}

func (m *Monitor) tickAll() {
	for _, w := range m.watchedGroups() {
		m.refresh(w)
		w.step(Tick{})
	}
}

// refresh passes the current configuration of the group to its machine.
func (m *Monitor) refresh(w *watchedGroup) {
	g, ok := m.opts.Group(w.id)
	if !ok {
		return
	}
	if w.setGroup(g, m.opts.Policy(w.id)) {
		m.indexTargets(g)
	}
}

func (m *Monitor) watchedGroups() []*watchedGroup {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups := make([]*watchedGroup, 0, len(m.watched))
	for _, w := range m.watched {
		groups = append(groups, w)
	}
	return groups
}

// Watch sets the groups whose primaries this host monitors.
func (m *Monitor) Watch(groups []topology.GroupID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	timings := TimingsFor(len(groups))
	wanted := map[topology.GroupID]bool{}
	for _, id := range groups {
		wanted[id] = true
		g, ok := m.opts.Group(id)
		if !ok {
			continue
		}
		if w := m.watched[id]; w != nil {
			w.setTimings(timings)
			continue
		}
		m.watched[id] = m.newWatchedGroup(g, timings)
	}
	for id, w := range m.watched {
		if !wanted[id] {
			w.stop()
			delete(m.watched, id)
		}
	}
}

// newWatchedGroup creates the watchedGroup of a group. The caller holds m.mu.
func (m *Monitor) newWatchedGroup(g *topology.Group, timings Timings) *watchedGroup {
	w := &watchedGroup{id: g.ID, monitor: m, timings: timings, group: g, changed: make(chan struct{})}
	w.machine = NewMachine(m.opts.Self, *g, timings, m.opts.Policy(g.ID), time.Now())
	if learned, ok := m.learnedPrimaries[g.ID]; ok {
		w.machine.LearnPrimary(learned.term, learned.primary, time.Now())
		delete(m.learnedPrimaries, g.ID)
	}
	for _, t := range g.Targets {
		m.groupOf[t.ID] = g.ID
	}
	return w
}

func (m *Monitor) lookup(id topology.GroupID) *watchedGroup {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watched[id]
}

// ObserveStatus processes the result of a status request that was sent at sentAt. If err
// is not nil, only st.Target is meaningful.
func (m *Monitor) ObserveStatus(st target.Status, err error, sentAt time.Time) {
	m.mu.Lock()
	w := m.watched[m.groupOf[st.Target]]
	m.mu.Unlock()
	if w == nil {
		return
	}
	if err != nil {
		w.step(StatusFailed{Target: st.Target, SentAt: sentAt})
		return
	}
	w.step(StatusAnswered{Status: st, SentAt: sentAt})
}

// CurrentPrimary returns the highest known term of the group and the primary of that term.
func (m *Monitor) CurrentPrimary(id topology.GroupID) (term uint64, primary topology.TargetID, ok bool) {
	if g, found := m.opts.Group(id); found {
		term, primary = g.Term, g.Primary
	}
	m.mu.Lock()
	w, known := m.watched[id], m.learnedPrimaries[id]
	m.mu.Unlock()
	if w != nil {
		t, p, _ := w.currentPrimary()
		known = knownPrimary{term: t, primary: p}
	}
	if known.term > term || primary == "" {
		term, primary = known.term, known.primary
	}
	return term, primary, primary != ""
}

// LearnPrimary records the primary of a term that a target's answer named.
func (m *Monitor) LearnPrimary(id topology.GroupID, term uint64, primary topology.TargetID) {
	if primary == "" {
		return
	}
	m.mu.Lock()
	w := m.watched[id]
	if w == nil && term > m.learnedPrimaries[id].term {
		m.learnedPrimaries[id] = knownPrimary{term: term, primary: primary}
	}
	m.mu.Unlock()
	if w != nil {
		w.learnPrimary(term, primary)
	}
}

// Confirm implements pool.Confirmer.
func (m *Monitor) Confirm(ctx context.Context, id topology.GroupID, pos topology.Position) error {
	g, ok := m.opts.Group(id)
	if !ok {
		return result.New(result.UnconfirmedCommit, "unknown group %s", id)
	}
	primary := topology.TargetID("")
	if w := m.lookup(id); w != nil {
		if term, p, fromTarget := w.currentPrimary(); fromTarget && term == pos.Term {
			primary = p
		}
	}
	started := time.Now()
	err := m.poller(id).confirm(ctx, g, pos, primary, m.opts.Policy(id))
	countConfirm(err, time.Since(started))
	return err
}

// CanConfirm implements pool.Confirmer. It sends no requests and relies on the
// latest known statuses.
func (m *Monitor) CanConfirm(id topology.GroupID) error {
	w := m.lookup(id)
	if w == nil {
		return nil
	}
	return w.canConfirm()
}

// ReadQuorum returns what a majority of the group's targets answered at one term to
// requests that were sent after the call. Its errors have code NoMajority.
func (m *Monitor) ReadQuorum(ctx context.Context, id topology.GroupID) (QuorumRead, error) {
	g, ok := m.opts.Group(id)
	if !ok {
		return QuorumRead{}, errNoMajority("unknown group %s", id)
	}
	r, err := m.poller(id).round(ctx, g)
	countRound(err)
	return r, err
}

func (m *Monitor) poller(id topology.GroupID) *poller {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pollers[id]
	if p == nil {
		p = newPoller(m.opts.Directory, m.ObserveStatus)
		m.pollers[id] = p
	}
	return p
}

// Dump returns the state of all watched groups and the unpublished changes of primary.
func (m *Monitor) Dump() any {
	var groups []GroupDump
	for _, w := range m.watchedGroups() {
		groups = append(groups, w.dump())
	}
	return struct {
		Groups      []GroupDump     `json:"groups"`
		Unpublished []primaryChange `json:"unpublished,omitempty"`
	}{groups, m.publisher.pending()}
}
