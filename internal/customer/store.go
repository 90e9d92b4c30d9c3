package customer

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Kinds lists the kinds of objects that spread between hosts.
var Kinds = []string{platform.KindTemplate, platform.KindCustomer, platform.KindGroup, platform.KindHost}

// neededKinds must be whole before a host serves callers. Without a host list
// a host serves alone.
var neededKinds = []string{platform.KindTemplate, platform.KindCustomer, platform.KindGroup}

// Store is the configuration of this host. It implements View and
// platform.Sink, and is safe for concurrent use. Nothing in it ever reverts.
type Store struct {
	log     logr.Logger
	started time.Time

	mu        sync.RWMutex
	kinds     map[string]*Collection
	confirmed map[string]time.Time // when the kind was last known to be current
	templates map[string]Versioned[*Template]
	lastGood  map[string]Item // customers whose latest version has faults
	resolved  map[topology.CustomerID]*Customer
	choices   *choices
	groups    map[topology.GroupID]*topology.Group
	groupList []*topology.Group // nil when it has to be built again
	hosts     map[string]topology.Host
	changed   chan struct{} // closed and replaced at each change

	notify  sync.Mutex // held while listeners are told, so that lists arrive in order
	onHosts []func([]topology.Host)

	badObjects *metrics.Counter
}

// NewStore returns an empty store. set may be nil.
func NewStore(log logr.Logger, set *metrics.Set) *Store {
	s := &Store{
		log:        log,
		started:    time.Now(),
		kinds:      map[string]*Collection{},
		confirmed:  map[string]time.Time{},
		templates:  map[string]Versioned[*Template]{},
		lastGood:   map[string]Item{},
		resolved:   map[topology.CustomerID]*Customer{},
		choices:    newChoices(),
		groups:     map[topology.GroupID]*topology.Group{},
		hosts:      map[string]topology.Host{},
		changed:    make(chan struct{}),
		badObjects: &metrics.Counter{},
	}
	for _, kind := range Kinds {
		s.kinds[kind] = &Collection{}
	}
	s.register(set)
	return s
}

// Revision returns the revision of a kind, and whether the kind is whole.
func (s *Store) Revision(kind string) (revision uint64, whole bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.kinds[kind]
	if c == nil {
		return 0, false
	}
	return c.Revision(), c.Whole()
}

// Reset implements platform.Sink.
func (s *Store) Reset(kind string, list platform.List) { s.ResetAt(kind, list, time.Now()) }

// ResetAt takes in all objects of a kind, current at a time.
func (s *Store) ResetAt(kind string, list platform.List, current time.Time) {
	s.update(kind, current, func(c *Collection) []Update { return c.Replace(list) })
}

// Apply implements platform.Sink.
func (s *Store) Apply(kind string, changes platform.Changes) {
	s.Merge(deltaOf(kind, changes), time.Now())
}

// Merge takes in a delta that was current at a time.
func (s *Store) Merge(d Delta, current time.Time) {
	s.update(d.Kind, current, func(c *Collection) []Update { return c.Merge(d) })
}

// Learn takes in one object that this host knows to be written, before the
// change arrives on the usual way.
func (s *Store) Learn(object platform.Object) {
	item := Item{Name: object.Name, Version: object.Version, Value: object.Value}
	s.Merge(Delta{Kind: object.Kind, Items: []Item{item}}, time.Time{})
}

// update changes one kind, interprets what changed and tells the listeners.
func (s *Store) update(kind string, current time.Time, change func(*Collection) []Update) {
	s.mu.Lock()
	c := s.kinds[kind]
	if c == nil {
		s.mu.Unlock()
		return
	}
	wasWhole := c.Whole()
	updates := change(c)
	for _, update := range updates {
		s.interpret(kind, update)
	}
	if current.After(s.confirmed[kind]) {
		s.confirmed[kind] = current
	}
	news := len(updates) > 0 || c.Whole() != wasWhole
	if news {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if news && kind == platform.KindHost {
		s.tellHosts()
	}
}

// Changed returns a channel that is closed at the next change of anything.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// OnHosts registers a listener for the list of hosts. It is called at once if
// the list is known, and after each change, one call at a time.
func (s *Store) OnHosts(listener func([]topology.Host)) {
	s.notify.Lock()
	defer s.notify.Unlock()
	s.onHosts = append(s.onHosts, listener)
	if _, whole := s.Revision(platform.KindHost); whole {
		listener(s.Hosts())
	}
}

func (s *Store) tellHosts() {
	s.notify.Lock()
	defer s.notify.Unlock()
	hosts := s.Hosts()
	for _, listener := range s.onHosts {
		listener(hosts)
	}
}

// Age returns how long ago the needed kinds were last known to be current, as
// far as this host can tell. Before the first time it is since start of time.
func (s *Store) Age(now time.Time) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	oldest := now
	for _, kind := range neededKinds {
		if at := s.confirmed[kind]; at.Before(oldest) {
			oldest = at
		}
	}
	return now.Sub(oldest)
}

// unconfirmedFor returns for how long this host hasn't known its configuration
// to be current. What was never known isn't older than the host's process.
func (s *Store) unconfirmedFor(now time.Time) time.Duration {
	return min(s.Age(now), now.Sub(s.started))
}

// Since returns what a kind changed after a revision, of about limit bytes.
// ok is false while the kind isn't whole.
func (s *Store) Since(kind string, revision uint64, limit int) (d Delta, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.kinds[kind]
	if c == nil || !c.Whole() {
		return Delta{}, false
	}
	return c.Since(kind, revision, limit), true
}

// Page returns a kind's objects after a name, of about limit bytes. ok is
// false while the kind isn't whole.
func (s *Store) Page(kind, after string, limit int) (p Page, ok bool) {
	s.mu.Lock() // building the index of names changes the collection
	defer s.mu.Unlock()
	c := s.kinds[kind]
	if c == nil || !c.Whole() {
		return Page{}, false
	}
	return c.Page(kind, after, limit), true
}
