package customer

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Kinds lists the kinds of objects that are distributed between hosts.
var Kinds = []string{platform.KindTemplate, platform.KindCustomer, platform.KindGroup, platform.KindHost}

// requiredKinds must be complete before a host serves callers. Without the
// list of hosts, a host serves on its own.
var requiredKinds = []string{platform.KindTemplate, platform.KindCustomer, platform.KindGroup}

// Store holds the configuration of this host. It implements View and
// platform.Sink and is safe for concurrent use. Objects never revert to an
// older version.
type Store struct {
	log     logr.Logger
	started time.Time

	mu          sync.RWMutex
	kinds       map[string]*Collection
	confirmedAt map[string]time.Time // by kind: time as of which the collection was last known to be current
	templates   map[string]Versioned[*Template]
	lastGood    map[string]Item                   // last valid versions of customers whose latest version is invalid
	resolved    map[topology.CustomerID]*Customer // cache of effective configurations
	ackPolicies *ackPolicies
	groups      map[topology.GroupID]*topology.Group
	groupList   []*topology.Group // sorted by ID; nil: rebuild on the next use
	hosts       map[string]topology.Host
	changed     chan struct{} // closed and replaced on each change

	listenerMu    sync.Mutex // held while listeners run, so that they receive the lists in order
	hostListeners []func([]topology.Host)

	invalidObjects *metrics.Counter
}

// NewStore returns an empty store. set may be nil.
func NewStore(log logr.Logger, set *metrics.Set) *Store {
	s := &Store{
		log:            log,
		started:        time.Now(),
		kinds:          map[string]*Collection{},
		confirmedAt:    map[string]time.Time{},
		templates:      map[string]Versioned[*Template]{},
		lastGood:       map[string]Item{},
		resolved:       map[topology.CustomerID]*Customer{},
		ackPolicies:    newAckPolicies(),
		groups:         map[topology.GroupID]*topology.Group{},
		hosts:          map[string]topology.Host{},
		changed:        make(chan struct{}),
		invalidObjects: &metrics.Counter{},
	}
	for _, kind := range Kinds {
		s.kinds[kind] = &Collection{}
	}
	s.registerMetrics(set)
	return s
}

// Revision returns the revision of a kind and whether the kind is complete.
func (s *Store) Revision(kind string) (revision uint64, complete bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.kinds[kind]
	if c == nil {
		return 0, false
	}
	return c.Revision(), c.Complete()
}

// Reset implements platform.Sink.
func (s *Store) Reset(kind string, list platform.List) { s.ResetAt(kind, list, time.Now()) }

// ResetAt replaces all objects of a kind with a list that was current at
// confirmedAt.
func (s *Store) ResetAt(kind string, list platform.List, confirmedAt time.Time) {
	s.update(kind, confirmedAt, func(c *Collection) []Update { return c.Replace(list) })
}

// Apply implements platform.Sink.
func (s *Store) Apply(kind string, changes platform.Changes) {
	s.Merge(deltaFromChanges(kind, changes), time.Now())
}

// Merge applies a delta that was current at confirmedAt.
func (s *Store) Merge(d Delta, confirmedAt time.Time) {
	s.update(d.Kind, confirmedAt, func(c *Collection) []Update { return c.Merge(d) })
}

// MergeObject applies one object that this host knows to be stored by the platform,
// ahead of the delta that will contain the object.
func (s *Store) MergeObject(object platform.Object) {
	item := Item{Name: object.Name, Version: object.Version, Value: object.Value}
	s.Merge(Delta{Kind: object.Kind, Items: []Item{item}}, time.Time{})
}

// update changes the collection of one kind, applies the changed objects and
// notifies waiting pulls and listeners.
func (s *Store) update(kind string, confirmedAt time.Time, mutate func(*Collection) []Update) {
	s.mu.Lock()
	c := s.kinds[kind]
	if c == nil {
		s.mu.Unlock()
		return
	}
	wasComplete := c.Complete()
	updates := mutate(c)
	for _, update := range updates {
		s.applyUpdate(kind, update)
	}
	if confirmedAt.After(s.confirmedAt[kind]) {
		s.confirmedAt[kind] = confirmedAt
	}
	changed := len(updates) > 0 || c.Complete() != wasComplete
	if changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if changed && kind == platform.KindHost {
		s.notifyHostListeners()
	}
}

// Changed returns a channel that is closed on the next change of any kind.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// OnHostsChange registers a listener for the list of hosts. The listener is
// called immediately if the list is known, and after each change. Calls do not
// overlap.
func (s *Store) OnHostsChange(listener func([]topology.Host)) {
	s.listenerMu.Lock()
	defer s.listenerMu.Unlock()
	s.hostListeners = append(s.hostListeners, listener)
	if _, complete := s.Revision(platform.KindHost); complete {
		listener(s.Hosts())
	}
}

// notifyHostListeners passes the current list of hosts to all listeners.
func (s *Store) notifyHostListeners() {
	s.listenerMu.Lock()
	defer s.listenerMu.Unlock()
	hosts := s.Hosts()
	for _, listener := range s.hostListeners {
		listener(hosts)
	}
}

// Age returns the time since all required kinds were last known to be current.
// A kind that was never confirmed counts from the zero time.
func (s *Store) Age(now time.Time) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	oldest := now
	for _, kind := range requiredKinds {
		if at := s.confirmedAt[kind]; at.Before(oldest) {
			oldest = at
		}
	}
	return now.Sub(oldest)
}

// sinceConfirmed returns the time since the configuration was last known to be
// current, but at most the time since the store was created.
func (s *Store) sinceConfirmed(now time.Time) time.Duration {
	return min(s.Age(now), now.Sub(s.started))
}

// Since returns the changes of a kind after a revision, see Collection.Since.
// ok is false while the kind is incomplete.
func (s *Store) Since(kind string, revision uint64, maxBytes int) (d Delta, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.kinds[kind]
	if c == nil || !c.Complete() {
		return Delta{}, false
	}
	return c.Since(kind, revision, maxBytes), true
}

// Page returns objects of a kind after a name, see Collection.Page. ok is
// false while the kind is incomplete.
func (s *Store) Page(kind, after string, maxBytes int) (p Page, ok bool) {
	s.mu.Lock() // Collection.Page may rebuild the cached names
	defer s.mu.Unlock()
	c := s.kinds[kind]
	if c == nil || !c.Complete() {
		return Page{}, false
	}
	return c.Page(kind, after, maxBytes), true
}
