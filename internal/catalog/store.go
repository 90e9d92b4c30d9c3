package catalog

import (
	"maps"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// unregisteredGrace is how long a target that disappeared from the registry
	// without announcing that it leaves is still used. Entries expire during a
	// disturbance of the store and return within two seconds of its recovery.
	unregisteredGrace = 3 * time.Second
	// restoreGrace is how long a target that is missing in a registry which came back
	// from an older copy still counts as registered: targets report every second or two.
	restoreGrace = 5 * time.Second
	// unregisteredRetention is how long this host remembers a leaving target that
	// disappeared from the registry. Any other one may be cut off from the store and still
	// receive commits, so it is remembered until it is registered again.
	unregisteredRetention = 60 * time.Second
)

// Store keeps the newest known configuration and registry snapshot. It is safe
// for concurrent use.
type Store struct {
	mu              sync.Mutex
	config          *Configuration
	configUpdatedAt time.Time
	registry        *Registry
	unregistered    map[topology.TargetID]unregisteredMember
	// unconfirmed holds the targets that the registry lacks since the store came back
	// from an older copy, with the time of that. They count as registered.
	unconfirmed map[topology.TargetID]unregisteredMember
	// departures holds the targets that are leaving or have left the registry.
	departures            map[topology.TargetID]departure
	reads                 ReadTimes
	confirmations         confirmations // of the configuration
	registryConfirmations confirmations
	changed               chan struct{} // closed and replaced at each change
}

// unregisteredMember is a target that is no longer registered.
type unregisteredMember struct {
	member Member
	since  time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		unregistered: map[topology.TargetID]unregisteredMember{}, unconfirmed: map[topology.TargetID]unregisteredMember{},
		departures: map[topology.TargetID]departure{}, changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notifyLocked signals a change. The caller must hold s.mu.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// OfferConfiguration stores c if it is newer than the known configuration, or the same
// version with the customers that the known one lacks. The version never goes back.
func (s *Store) OfferConfiguration(c *Configuration) (stored bool) {
	if c == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config != nil && s.config.Version >= c.Version && !completes(s.config, c) {
		return false
	}
	s.config, s.configUpdatedAt = c, steady.Now()
	s.confirmations.learned(versionPosition(c.Version))
	s.notifyLocked()
	return true
}

// completes reports whether next is the known version, received whole.
func completes(known, next *Configuration) bool {
	return next.Version == known.Version && next.CustomersKnown && !known.CustomersKnown
}

// Configuration returns the newest known configuration, or nil if none is
// known.
func (s *Store) Configuration() *Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Versions returns the version of the newest known configuration and the position of
// the newest registry snapshot, or zero values where none is known.
func (s *Store) Versions() (configuration uint64, register StorePosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config != nil {
		configuration = s.config.Version
	}
	if s.registry != nil {
		register = s.registry.Position()
	}
	return configuration, register
}

// OfferRegistry stores r if it is newer than the known registry snapshot.
func (s *Store) OfferRegistry(r *Registry) (stored bool) {
	if r == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry != nil && !r.Position().After(s.registry.Position()) {
		return false
	}
	old := s.registry
	r = s.withUnconfirmedLocked(old, r)
	s.registry = r
	s.updateDeparturesLocked(old, r)
	s.registryConfirmations.learned(r.Position())
	if old == nil {
		s.notifyLocked()
		return true
	}
	if s.updateUnregisteredLocked(old, r) {
		s.notifyLocked()
	}
	return true
}

// withUnconfirmedLocked returns the snapshot with the targets that are only missing
// because the store came back from an older copy. The caller must hold s.mu.
func (s *Store) withUnconfirmedLocked(old, next *Registry) *Registry {
	now := steady.Now()
	if old != nil && next.Era > old.Era {
		for id, m := range old.Members {
			if _, ok := next.Members[id]; !ok {
				s.unconfirmed[id] = unregisteredMember{member: m, since: now}
			}
		}
	}
	if len(s.unconfirmed) == 0 {
		return next
	}
	merged := &Registry{Era: next.Era, Revision: next.Revision, Members: maps.Clone(next.Members)}
	for id, v := range s.unconfirmed {
		if _, ok := next.Members[id]; ok || now.Sub(v.since) >= restoreGrace {
			delete(s.unconfirmed, id)
			continue
		}
		merged.Members[id] = v.member
	}
	return merged
}

// expireUnconfirmedLocked removes the targets that have not been registered again since
// the store came back from an older copy. The caller must hold s.mu.
func (s *Store) expireUnconfirmedLocked(now time.Time) {
	expired := false
	for id, v := range s.unconfirmed {
		if now.Sub(v.since) < restoreGrace {
			continue
		}
		delete(s.unconfirmed, id)
		if !expired {
			expired = true
			s.registry = &Registry{Era: s.registry.Era, Revision: s.registry.Revision, Members: maps.Clone(s.registry.Members)}
		}
		delete(s.registry.Members, id)
		s.unregistered[id] = unregisteredMember{member: v.member, since: now}
	}
	if expired {
		s.notifyLocked()
	}
}

// updateUnregisteredLocked records the targets that disappeared from the
// registry and reports whether any entry changed. The caller must hold s.mu.
func (s *Store) updateUnregisteredLocked(old, next *Registry) (changed bool) {
	now := steady.Now()
	for id, m := range old.Members {
		if _, ok := next.Members[id]; !ok {
			s.unregistered[id] = unregisteredMember{member: m, since: now}
			changed = true
		}
	}
	for id, m := range next.Members {
		delete(s.unregistered, id)
		if old.Members[id] != m {
			changed = true
		}
	}
	return changed
}

// Registry returns the newest known registry snapshot, or nil if none is known.
func (s *Store) Registry() *Registry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry
}

// Serving returns the targets that may receive requests, by group.
func (s *Store) Serving() map[topology.GroupID][]Member {
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := map[topology.GroupID][]Member{}
	if s.registry == nil {
		return groups
	}
	s.expireUnconfirmedLocked(now)
	for _, m := range s.registry.Members {
		groups[m.Target.Group] = append(groups[m.Target.Group], m)
	}
	for id, v := range s.unregistered {
		if v.member.Target.Leaving && now.Sub(v.since) > unregisteredRetention {
			delete(s.unregistered, id)
			continue
		}
		if !v.member.Target.Leaving && now.Sub(v.since) < unregisteredGrace {
			groups[v.member.Target.Group] = append(groups[v.member.Target.Group], v.member)
		}
	}
	return groups
}

// PossibleCommitHolders returns the targets of a group that may hold acknowledged commits:
// the registered targets, and those that disappeared from the registry, with the time
// since then.
func (s *Store) PossibleCommitHolders(id topology.GroupID) (members []Member, unregisteredFor map[topology.TargetID]time.Duration) {
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	unregisteredFor = map[topology.TargetID]time.Duration{}
	if s.registry == nil {
		return nil, unregisteredFor
	}
	s.expireUnconfirmedLocked(now)
	for _, m := range s.registry.Members {
		if m.Target.Group == id {
			members = append(members, m)
		}
	}
	for tid, v := range s.unregistered {
		if v.member.Target.Group == id {
			members = append(members, v.member)
			unregisteredFor[tid] = now.Sub(v.since)
		}
	}
	return members, unregisteredFor
}

// AckReplicas returns how many replicas must have received a commit before targets of the group
// acknowledge it.
func (s *Store) AckReplicas(id topology.GroupID) int {
	if c := s.Configuration(); c != nil {
		return c.Groups[id].AckReplicas
	}
	return 0
}

// AwaitsReplicas reports whether targets of the group acknowledge a commit only once
// replicas have it.
func (s *Store) AwaitsReplicas(id topology.GroupID) bool {
	c := s.Configuration()
	return c != nil && c.Groups[id].AckReplicas > 0
}

// PrimaryDomain returns the failure domain of a group's primary, or "" if there
// is none. last is the target that was most recently proved to be the primary.
// If last is no longer registered, the target that registered as the primary
// counts instead.
func (s *Store) PrimaryDomain(id topology.GroupID, last topology.TargetID) topology.Domain {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry == nil {
		return ""
	}
	if m, ok := s.registry.Members[last]; ok {
		return m.Target.Domain
	}
	for _, m := range s.registry.Members {
		if m.Target.Group == id && m.Primary {
			return m.Target.Domain
		}
	}
	return ""
}

// TargetAt returns the target that is registered at an address.
func (s *Store) TargetAt(addr string) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry == nil {
		return Member{}, false
	}
	for _, m := range s.registry.Members {
		if m.Target.Addr == addr {
			return m, true
		}
	}
	return Member{}, false
}
