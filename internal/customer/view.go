package customer

import (
	"fmt"
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// maxResolved bounds the cache of effective configurations. A full cache is
// cleared, and customers are resolved again on their next use.
const maxResolved = 4096

// staleAfter is the time without confirmation after which the configuration
// counts as stale. It exceeds the time that any chain of pulls needs to
// deliver a change.
const staleAfter = 20 * time.Second

// Customer implements View. A customer is resolved on its first use.
func (s *Store) Customer(id topology.CustomerID) (*Customer, bool) {
	s.mu.RLock()
	c, ok := s.cachedCustomer(id)
	s.mu.RUnlock()
	if ok {
		return c, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resolve(id)
}

// cachedCustomer returns a resolved customer unless its template changed
// since.
func (s *Store) cachedCustomer(id topology.CustomerID) (*Customer, bool) {
	c, ok := s.resolved[id]
	if !ok || s.templates[c.Template].Version != c.TemplateVersion {
		return nil, false
	}
	return c, true
}

// resolve computes and caches the effective configuration of a customer. The
// caller holds s.mu for writing.
func (s *Store) resolve(id topology.CustomerID) (*Customer, bool) {
	spec, ok := s.activeSpec(id)
	if !ok {
		return nil, false
	}
	template, ok := s.templates[spec.Value.Template]
	if !ok {
		return nil, false
	}
	if len(s.resolved) >= maxResolved {
		clear(s.resolved)
	}
	c := Resolve(id, template, spec)
	s.resolved[id] = c
	return c, true
}

// activeSpec returns the active version of a customer object.
func (s *Store) activeSpec(id topology.CustomerID) (Versioned[*Spec], bool) {
	item, ok := s.kinds[platform.KindCustomer].Get(string(id))
	if lastGood, exists := s.lastGood[string(id)]; exists {
		item = lastGood
	}
	if !ok || platform.IsDeleted(item.Value) {
		return Versioned[*Spec]{}, false
	}
	spec, err := parseSpecItem(item)
	return Versioned[*Spec]{Version: item.Version, Value: spec}, err == nil
}

// Group implements View.
func (s *Store) Group(id topology.GroupID) (*topology.Group, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	g, ok := s.groups[id]
	return g, ok
}

// Groups implements View. The groups are sorted by ID.
func (s *Store) Groups() []*topology.Group {
	s.mu.RLock()
	list := s.groupList
	s.mu.RUnlock()
	if list != nil {
		return list
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groupList == nil {
		s.groupList = sortedGroups(s.groups)
	}
	return s.groupList
}

func sortedGroups(groups map[topology.GroupID]*topology.Group) []*topology.Group {
	list := make([]*topology.Group, 0, len(groups))
	for _, g := range groups {
		list = append(list, g)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Hosts returns the hosts in the platform's list, except those in state gone,
// sorted by ID.
func (s *Store) Hosts() []topology.Host {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]topology.Host, 0, len(s.hosts))
	for _, host := range s.hosts {
		if host.State != topology.HostGone {
			list = append(list, host)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Ready implements View.
func (s *Store) Ready() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, kind := range requiredKinds {
		if !s.kinds[kind].Complete() {
			return false
		}
	}
	return true
}

// Object returns the latest version of an object that this host has, active or
// not, and the active version, 0 if there is none.
func (s *Store) Object(kind, name string) (object platform.Object, active uint64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.kinds[kind]
	if c == nil {
		return platform.Object{}, 0, false
	}
	item, ok := c.Get(name)
	if !ok || platform.IsDeleted(item.Value) {
		return platform.Object{}, 0, false
	}
	object = platform.Object{Kind: kind, Name: name, Version: item.Version, Value: item.Value}
	return object, s.activeVersion(kind, item), true
}

// activeVersion returns the active version of an object, 0 if there is none.
func (s *Store) activeVersion(kind string, item Item) uint64 {
	switch kind {
	case platform.KindTemplate:
		return s.templates[item.Name].Version
	case platform.KindCustomer:
		spec, ok := s.activeSpec(topology.CustomerID(item.Name))
		if !ok || s.templates[spec.Value.Template].Version == 0 {
			return 0
		}
		return spec.Version
	}
	return item.Version
}

// Objects returns the latest versions of all objects of a kind, sorted by
// name.
func (s *Store) Objects(kind string) []platform.Object {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.kinds[kind]
	if c == nil {
		return nil
	}
	var list []platform.Object
	for _, name := range c.sortedNames() {
		item := c.items[name]
		if !platform.IsDeleted(item.Value) {
			list = append(list, platform.Object{Kind: kind, Name: name, Version: item.Version, Value: item.Value})
		}
	}
	return list
}

// StaleReason returns a message if the configuration of the store was not
// confirmed as current for too long, otherwise an empty string.
func StaleReason(s *Store) string {
	staleFor := s.sinceConfirmed(time.Now())
	if !s.Ready() || staleFor <= staleAfter {
		return ""
	}
	return fmt.Sprintf("configuration not confirmed by the platform or a peer for %s", staleFor.Round(time.Second))
}
