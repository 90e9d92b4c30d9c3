package customer

import (
	"fmt"
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// maxResolved bounds the customers that are kept ready for use; beyond it all
// are resolved anew when they are asked for.
const maxResolved = 4096

// outOfTouchAfter is longer than any chain of pulls takes to bring news.
const outOfTouchAfter = 20 * time.Second

// Customer implements View. Only customers that are asked for are resolved.
func (s *Store) Customer(id topology.CustomerID) (*Customer, bool) {
	s.mu.RLock()
	c, ok := s.current(id)
	s.mu.RUnlock()
	if ok {
		return c, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resolve(id)
}

// current returns a resolved customer if its template hasn't changed since.
func (s *Store) current(id topology.CustomerID) (*Customer, bool) {
	c, ok := s.resolved[id]
	if !ok || s.templates[c.Template].Version != c.TemplateVersion {
		return nil, false
	}
	return c, true
}

func (s *Store) resolve(id topology.CustomerID) (*Customer, bool) {
	spec, ok := s.spec(id)
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

// spec returns a customer's own object in force.
func (s *Store) spec(id topology.CustomerID) (Versioned[*Spec], bool) {
	item, ok := s.kinds[platform.KindCustomer].Get(string(id))
	if good, kept := s.lastGood[string(id)]; kept {
		item = good
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

// Groups implements View. The groups are sorted by name.
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

// Hosts returns the hosts of the platform's list that aren't gone, by name.
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
	for _, kind := range neededKinds {
		if !s.kinds[kind].Whole() {
			return false
		}
	}
	return true
}

// Object returns the latest version of an object that this host has, in force
// or not, and the version in force, 0 if none is.
func (s *Store) Object(kind, name string) (object platform.Object, inForce uint64, ok bool) {
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
	return object, s.inForce(kind, item), true
}

func (s *Store) inForce(kind string, item Item) uint64 {
	switch kind {
	case platform.KindTemplate:
		return s.templates[item.Name].Version
	case platform.KindCustomer:
		spec, ok := s.spec(topology.CustomerID(item.Name))
		if !ok || s.templates[spec.Value.Template].Version == 0 {
			return 0
		}
		return spec.Version
	}
	return item.Version
}

// Objects returns the latest versions of a kind's objects, by name.
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

// OutOfTouch tells since when the store has no news of the platform's state,
// empty while it is in touch.
func OutOfTouch(s *Store) string {
	silence := s.unconfirmedFor(time.Now())
	if !s.Ready() || silence <= outOfTouchAfter {
		return ""
	}
	return fmt.Sprintf("neither the platform nor a peer in touch with it answered for %s", silence.Round(time.Second))
}
