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

// Publisher tells the platform who a group's primary is.
type Publisher interface {
	// PublishGroup records primary at term unless a higher term is recorded.
	PublishGroup(ctx context.Context, group topology.GroupID, term uint64, primary topology.TargetID) error
}

// Options are what a Monitor needs.
type Options struct {
	Self      topology.HostID
	Directory target.Directory
	Caller    peer.Caller
	// Group returns a group's published state.
	Group func(topology.GroupID) (*topology.Group, bool)
	// Peers returns the hosts that hold a slot of the group's targets.
	Peers func(*topology.Group) []topology.HostID
	// Policy returns when the group's commits are confirmed; nil: AckMajority.
	Policy    func(topology.GroupID) customer.Acknowledge
	Publisher Publisher       // nil: nothing is published
	Dial      target.DialFunc // for probes; nil dials directly
	Log       logr.Logger
}

// Monitor confirms commits and changes the primaries of the groups of which
// this host holds a slot. Safe for concurrent use.
type Monitor struct {
	opts      Options
	publisher *publisher

	mu      sync.Mutex // guards the fields below; taken before a watched's lock, never after it
	watched map[topology.GroupID]*watched
	pollers map[topology.GroupID]*poller
	learned map[topology.GroupID]lead // of groups that aren't watched
	groups  map[topology.TargetID]topology.GroupID
}

// New returns a monitor that watches no group yet.
func New(opts Options) *Monitor {
	if opts.Policy == nil {
		opts.Policy = func(topology.GroupID) customer.Acknowledge { return customer.AckMajority }
	}
	return &Monitor{
		opts:      opts,
		publisher: newPublisher(opts.Publisher, opts.Log),
		watched:   map[topology.GroupID]*watched{},
		pollers:   map[topology.GroupID]*poller{},
		learned:   map[topology.GroupID]lead{},
		groups:    map[topology.TargetID]topology.GroupID{},
	}
}

// Run drives the machines until ctx ends.
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
			m.tick()
		}
	}
}

func (m *Monitor) tick() {
	for _, w := range m.all() {
		m.refresh(w)
		w.step(Tick{})
	}
}

// refresh gives a machine the group's present configuration.
func (m *Monitor) refresh(w *watched) {
	g, ok := m.opts.Group(w.id)
	if !ok {
		return
	}
	if w.setGroup(g, m.opts.Policy(w.id)) {
		m.index(g)
	}
}

func (m *Monitor) all() []*watched {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*watched, 0, len(m.watched))
	for _, w := range m.watched {
		list = append(list, w)
	}
	return list
}

// Watch sets the groups whose primaries this host looks after.
func (m *Monitor) Watch(groups []topology.GroupID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	times := TimesFor(len(groups))
	wanted := map[topology.GroupID]bool{}
	for _, id := range groups {
		wanted[id] = true
		g, ok := m.opts.Group(id)
		if !ok {
			continue
		}
		if w := m.watched[id]; w != nil {
			w.setTimes(times)
			continue
		}
		m.watched[id] = m.newWatched(g, times)
	}
	for id, w := range m.watched {
		if !wanted[id] {
			w.stop()
			delete(m.watched, id)
		}
	}
}

// newWatched starts to watch a group. The caller holds the lock.
func (m *Monitor) newWatched(g *topology.Group, times Times) *watched {
	w := &watched{id: g.ID, monitor: m, times: times, group: g, changed: make(chan struct{})}
	w.machine = NewMachine(m.opts.Self, *g, times, m.opts.Policy(g.ID), time.Now())
	if l, ok := m.learned[g.ID]; ok {
		w.machine.Learn(l.term, l.primary, time.Now())
		delete(m.learned, g.ID)
	}
	for _, t := range g.Targets {
		m.groups[t.ID] = g.ID
	}
	return w
}

func (m *Monitor) watchedGroup(id topology.GroupID) *watched {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watched[id]
}

// Observe takes a status of a target, or the error of a request for it, in
// which case st names only the target.
func (m *Monitor) Observe(st target.Status, err error, sentAt time.Time) {
	m.mu.Lock()
	w := m.watched[m.groups[st.Target]]
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

// State returns the highest term known of the group and its primary.
func (m *Monitor) State(id topology.GroupID) (term uint64, primary topology.TargetID, ok bool) {
	if g, found := m.opts.Group(id); found {
		term, primary = g.Term, g.Primary
	}
	m.mu.Lock()
	w, l := m.watched[id], m.learned[id]
	m.mu.Unlock()
	if w != nil {
		t, p, _ := w.lead()
		l = lead{term: t, primary: p}
	}
	if l.term > term || primary == "" {
		term, primary = l.term, l.primary
	}
	return term, primary, primary != ""
}

// Learn takes a term and its primary from a target's answer.
func (m *Monitor) Learn(id topology.GroupID, term uint64, primary topology.TargetID) {
	if primary == "" {
		return
	}
	m.mu.Lock()
	w := m.watched[id]
	if w == nil && term > m.learned[id].term {
		m.learned[id] = lead{term: term, primary: primary}
	}
	m.mu.Unlock()
	if w != nil {
		w.learn(term, primary)
	}
}

// Confirm implements pool.Confirmer.
func (m *Monitor) Confirm(ctx context.Context, id topology.GroupID, pos topology.Position) error {
	g, ok := m.opts.Group(id)
	if !ok {
		return result.New(result.UnconfirmedCommit, "no group %s", id)
	}
	primary := topology.TargetID("")
	if w := m.watchedGroup(id); w != nil {
		if term, p, certain := w.lead(); certain && term == pos.Term {
			primary = p
		}
	}
	started := time.Now()
	err := m.poller(id).confirm(ctx, g, pos, primary, m.opts.Policy(id))
	countConfirm(err, time.Since(started))
	return err
}

// CanConfirm implements pool.Confirmer. It is answered from what is known.
func (m *Monitor) CanConfirm(id topology.GroupID) error {
	w := m.watchedGroup(id)
	if w == nil {
		return nil
	}
	return w.canConfirm()
}

// Round returns what a majority of the group's targets answered at one term,
// all asked after the call. Its errors are of code NoMajority.
func (m *Monitor) Round(ctx context.Context, id topology.GroupID) (Round, error) {
	g, ok := m.opts.Group(id)
	if !ok {
		return Round{}, errNoMajority("no group %s", id)
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
		p = newPoller(m.opts.Directory, m.Observe)
		m.pollers[id] = p
	}
	return p
}

// Dump returns the state of all watched groups.
func (m *Monitor) Dump() any {
	var groups []GroupDump
	for _, w := range m.all() {
		groups = append(groups, w.dump())
	}
	return struct {
		Groups      []GroupDump `json:"groups"`
		Unpublished []outcome   `json:"unpublished,omitempty"`
	}{groups, m.publisher.pending()}
}
