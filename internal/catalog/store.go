package catalog

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// missingGrace is how long a target that vanished from the register without
	// leaving is still used: entries lapse while the store is disturbed, and
	// are back within two seconds of its return.
	missingGrace = 3 * time.Second
	// rememberVanished is how long a vanished target still counts as one that may hold
	// acknowledged commits.
	rememberVanished = 60 * time.Second
)

// Store keeps the newest configuration and register. Safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	config   *Configuration
	configAt time.Time
	register *Register
	missing  map[topology.TargetID]vanished
	reads    Reads
	changed  chan struct{}
}

// vanished is a target that is no longer registered.
type vanished struct {
	member Member
	since  time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{missing: map[topology.TargetID]vanished{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify needs s.mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// OfferConfiguration takes a version if it is newer than the one known.
func (s *Store) OfferConfiguration(c *Configuration) (taken bool) {
	if c == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config != nil && s.config.Version >= c.Version {
		return false
	}
	s.config, s.configAt = c, steady.Now()
	s.notify()
	return true
}

// Configuration returns the newest version known, nil before the first.
func (s *Store) Configuration() *Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Versions returns the newest numbers of both snapshots, 0: none.
func (s *Store) Versions() (configuration, register uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config != nil {
		configuration = s.config.Version
	}
	if s.register != nil {
		register = s.register.Revision
	}
	return configuration, register
}

// OfferRegister takes a register if it is newer than the one known.
func (s *Store) OfferRegister(r *Register) (taken bool) {
	if r == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.register != nil && s.register.Revision >= r.Revision {
		return false
	}
	old := s.register
	s.register = r
	if old == nil {
		s.notify()
		return true
	}
	if s.compare(old, r) {
		s.notify()
	}
	return true
}

// compare remembers who vanished and tells whether anything changed.
func (s *Store) compare(old, next *Register) (changed bool) {
	now := steady.Now()
	for id, m := range old.Members {
		if _, ok := next.Members[id]; !ok {
			s.missing[id] = vanished{member: m, since: now}
			changed = true
		}
	}
	for id, m := range next.Members {
		delete(s.missing, id)
		if old.Members[id] != m {
			changed = true
		}
	}
	return changed
}

// Register returns the newest register, nil before the first.
func (s *Store) Register() *Register {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register
}

// Serving returns the targets by group that requests may go to.
func (s *Store) Serving() map[topology.GroupID][]Member {
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := map[topology.GroupID][]Member{}
	if s.register == nil {
		return groups
	}
	for _, m := range s.register.Members {
		groups[m.Target.Group] = append(groups[m.Target.Group], m)
	}
	for id, v := range s.missing {
		if now.Sub(v.since) > rememberVanished {
			delete(s.missing, id)
			continue
		}
		if !v.member.Target.Leaving && now.Sub(v.since) < missingGrace {
			groups[v.member.Target.Group] = append(groups[v.member.Target.Group], v.member)
		}
	}
	return groups
}

// Holding returns the targets of a group that may hold acknowledged commits:
// the registered ones, and those that vanished lately, with the time since.
func (s *Store) Holding(id topology.GroupID) (members []Member, vanishedFor map[topology.TargetID]time.Duration) {
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	vanishedFor = map[topology.TargetID]time.Duration{}
	if s.register == nil {
		return nil, vanishedFor
	}
	for _, m := range s.register.Members {
		if m.Target.Group == id {
			members = append(members, m)
		}
	}
	for tid, v := range s.missing {
		if v.member.Target.Group == id {
			members = append(members, v.member)
			vanishedFor[tid] = now.Sub(v.since)
		}
	}
	return members, vanishedFor
}

// PrimaryDomain returns the failure domain of a group's primary: of the target
// that was proved to lead last, if it is registered, else of one that registered
// as the primary. It is "" if there is none.
func (s *Store) PrimaryDomain(id topology.GroupID, last topology.TargetID) topology.Domain {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.register == nil {
		return ""
	}
	if m, ok := s.register.Members[last]; ok {
		return m.Target.Domain
	}
	for _, m := range s.register.Members {
		if m.Target.Group == id && m.Primary {
			return m.Target.Domain
		}
	}
	return ""
}

// Occupant returns the target that is registered at an address.
func (s *Store) Occupant(addr string) (topology.TargetID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.register == nil {
		return "", false
	}
	for id, m := range s.register.Members {
		if m.Target.Addr == addr {
			return id, true
		}
	}
	return "", false
}
