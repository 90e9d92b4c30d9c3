package catalog

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// departure is a target's report that it leaves, or its removal from the registry.
type departure struct {
	incarnation int64
	leaving     bool      // by its own report
	since       time.Time // the store accepted it no earlier; zero: not known
	era         uint64    // in which it was last seen
	// restoredAt is set while the registry lacks the departure because the store came back
	// from an older copy.
	restoredAt time.Time
}

// updateDeparturesLocked records which targets of a new snapshot leave or are gone. A host
// may hear of that late, so that a departure counts from the newest read that didn't find
// it. A departure ends when the target registers as ready. The caller must hold s.mu.
func (s *Store) updateDeparturesLocked(old, next *Registry) {
	now := steady.Now()
	notBefore := s.registryConfirmations.confirmedAt
	for id, m := range next.Members {
		d, departed := s.departures[id]
		same := departed && d.incarnation == m.Incarnation
		switch {
		case m.Target.Leaving && same:
			d.leaving, d.era, d.restoredAt = true, next.Era, time.Time{}
			s.departures[id] = d
		case m.Target.Leaving:
			s.departures[id] = departure{incarnation: m.Incarnation, leaving: true, since: notBefore, era: next.Era}
		case same && d.leaving && m.Incarnation != 0 && next.Era > d.era:
			if d.restoredAt.IsZero() {
				d.restoredAt = now
				s.departures[id] = d
			}
		default:
			delete(s.departures, id)
		}
	}
	if old == nil {
		return
	}
	for id, m := range old.Members {
		_, registered := next.Members[id]
		if _, departed := s.departures[id]; !registered && !departed {
			s.departures[id] = departure{incarnation: m.Incarnation, since: notBefore, era: next.Era}
		}
	}
}

// DepartingSince returns the targets that are leaving, and those that disappeared from the
// registry, with the earliest time at which the store may have accepted that, on the steady
// clock. The time is zero if nothing is known about it.
func (s *Store) DepartingSince() map[topology.TargetID]time.Time {
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	since := make(map[topology.TargetID]time.Time, len(s.departures))
	for id, d := range s.departures {
		if s.forgetsDepartureLocked(id, d, now) {
			delete(s.departures, id)
			continue
		}
		since[id] = d.since
	}
	return since
}

// forgetsDepartureLocked reports whether a departure no longer matters: the target is no
// longer registered or remembered, or it had time to report again that it leaves since the
// store came back from an older copy. The caller must hold s.mu.
func (s *Store) forgetsDepartureLocked(id topology.TargetID, d departure, now time.Time) bool {
	if !d.restoredAt.IsZero() {
		return now.Sub(d.restoredAt) >= restoreGrace
	}
	if _, registered := s.registry.Members[id]; registered {
		return false
	}
	v, remembered := s.unregistered[id]
	return !remembered || now.Sub(v.since) > unregisteredRetention
}
