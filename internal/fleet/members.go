package fleet

import (
	"slices"
	"strings"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	helloGrace   = 30 * time.Second // the platform's list may lack a new host or still describe its previous process
	leavingGrace = 60 * time.Second // the list may still show a leaving host as live for this long
)

// Members merges the platform's list of hosts, which lags behind, with the
// announcements of the hosts and the results of calls to them. Not safe for
// concurrent use.
//
// A host is live if it is listed or announced itself within helloGrace. It is
// leaving once it or the list says so, until it announces itself again or the list
// shows it as live after leavingGrace. It is gone while calls to it fail (see
// suspicion). It is removed when it is no longer on the list.
type Members struct {
	self topology.Host
	byID map[topology.HostID]*member
}

type member struct {
	host            topology.Host
	leavingNoticeAt time.Time // latest announcement of the host itself that it is leaving, or zero
	announcedAt     time.Time // latest Hello, or zero
	suspicion       suspicion
}

// NewMembers returns the members at start: only this host.
func NewMembers(self topology.Host) *Members {
	return &Members{self: self, byID: make(map[topology.HostID]*member)}
}

// Apply merges the platform's list. It ignores an empty list. An unlisted host is
// removed unless it announced itself within helloGrace, in which case it may not be
// listed yet, and calls to it don't fail. The result depends on the time, so the
// caller applies an unchanged list again from time to time.
func (m *Members) Apply(hosts []topology.Host, now time.Time) {
	if len(hosts) == 0 {
		return
	}
	listed := make(map[topology.HostID]bool, len(hosts))
	for _, h := range hosts {
		if h.State == topology.HostGone {
			continue
		}
		listed[h.ID] = true
		m.applyListed(h, now)
	}
	for id, known := range m.byID {
		if !listed[id] && (known.suspicion.Suspected || now.Sub(known.announcedAt) > helloGrace) {
			delete(m.byID, id)
		}
	}
}

// applyListed merges one listed host. Within helloGrace of the host's own
// announcement it ignores the list.
func (m *Members) applyListed(h topology.Host, now time.Time) {
	if h.ID == m.self.ID {
		return
	}
	known, ok := m.byID[h.ID]
	if !ok {
		m.byID[h.ID] = &member{host: h}
		return
	}
	if now.Sub(known.announcedAt) <= helloGrace {
		return
	}
	known.host = h
	if h.State == topology.HostLive && now.Sub(known.leavingNoticeAt) > leavingGrace {
		known.leavingNoticeAt = time.Time{}
	}
}

// Hello records that a host announced itself. It clears an earlier suspicion and
// leaving state, since the announcement comes from a new process.
func (m *Members) Hello(h topology.Host, now time.Time) {
	if h.ID == m.self.ID {
		return
	}
	m.byID[h.ID] = &member{host: h, announcedAt: now}
}

// MarkLeaving records that a host announced that it is leaving. It returns true for
// the first such announcement.
func (m *Members) MarkLeaving(id topology.HostID, now time.Time) bool {
	known, ok := m.byID[id]
	if !ok {
		return false
	}
	firstNotice := known.leavingNoticeAt.IsZero()
	known.leavingNoticeAt = now
	return firstNotice
}

// MarkSelfLeaving sets the state of this host to leaving.
func (m *Members) MarkSelfLeaving() { m.self.State = topology.HostLeaving }

// StateChange is the effect of a call's result on the state of the called host.
type StateChange int

// The state changes.
const (
	Unchanged      StateChange = iota
	Cleared                    // the host is no longer suspected
	Suspected                  // the host is suspected now, after another host had accused it
	SuspectedFirst             // the host is suspected now, without an accusation: the other hosts should be told
)

// RecordCall records whether a call reached the host.
func (m *Members) RecordCall(id topology.HostID, reachable bool, now time.Time) StateChange {
	known, ok := m.byID[id]
	if !ok {
		return Unchanged
	}
	before := known.suspicion
	if reachable {
		known.suspicion = before.afterSuccess(now)
	} else {
		known.suspicion = before.afterFailure(now)
	}
	switch {
	case before.Suspected == known.suspicion.Suspected:
		return Unchanged
	case before.Suspected:
		return Cleared
	case before.AccusedAt.IsZero():
		return SuspectedFirst
	}
	return Suspected
}

// Accuse records that another host suspects the host. HostsToRecheck then includes
// the host, so that this host checks it with a call of its own.
func (m *Members) Accuse(id topology.HostID, now time.Time) {
	if known, ok := m.byID[id]; ok && !known.suspicion.Suspected {
		known.suspicion = known.suspicion.afterAccusation(now)
	}
}

// Suspected reports whether the host counts as gone because calls to it fail.
func (m *Members) Suspected(id topology.HostID) bool {
	known, ok := m.byID[id]
	return ok && known.suspicion.Suspected
}

func (m *Members) needsRecheck(id topology.HostID) bool {
	known, ok := m.byID[id]
	return ok && known.needsRecheck()
}

// needsRecheck reports whether the result of the next call may change the suspicion.
func (m *member) needsRecheck() bool {
	s := m.suspicion
	return s.Suspected || s.Failures > 0 || !s.AccusedAt.IsZero()
}

// HostsToRecheck returns the hosts whose latest call failed and those accused or suspected.
func (m *Members) HostsToRecheck() []topology.HostID {
	var ids []topology.HostID
	for id, known := range m.byID {
		if known.needsRecheck() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Self returns this host with its state.
func (m *Members) Self() topology.Host { return m.self }

// Hosts returns all hosts, this one included, sorted by id. Suspected hosts are gone.
func (m *Members) Hosts() []topology.Host {
	hosts := make([]topology.Host, 0, len(m.byID)+1)
	hosts = append(hosts, m.self)
	for _, known := range m.byID {
		hosts = append(hosts, known.effectiveHost())
	}
	slices.SortFunc(hosts, func(a, b topology.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return hosts
}

// effectiveHost returns the host with the state that follows from the list, its own
// announcements and the suspicion.
func (m *member) effectiveHost() topology.Host {
	h := m.host
	if !m.leavingNoticeAt.IsZero() {
		h.State = topology.HostLeaving
	}
	if m.suspicion.Suspected {
		h.State = topology.HostGone
	}
	return h
}
