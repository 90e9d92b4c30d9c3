package fleet

import (
	"slices"
	"strings"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	helloGrace   = 30 * time.Second // the platform's list may lack a new host, or tell of its former process
	leavingGrace = 60 * time.Second // the list may call a leaving host live for this long
)

// Members merges the platform's list of hosts, which lags, with what the hosts
// announce and with the fate of calls to them. Not safe for concurrent use.
//
// A host is live when it is listed or announced itself within helloGrace. It
// is leaving once it or the list says so, until it announces itself again or
// the list calls it live after leavingGrace. It is gone while calls to it fail (see suspicion). It is
// forgotten when the list lacks it.
type Members struct {
	self topology.Host
	byID map[topology.HostID]*member
}

type member struct {
	host      topology.Host
	leaving   time.Time // when the host itself said so, zero if it didn't
	greeted   time.Time
	suspicion suspicion
}

// NewMembers returns the members known at start: this host alone.
func NewMembers(self topology.Host) *Members {
	return &Members{self: self, byID: make(map[topology.HostID]*member)}
}

// Apply takes the platform's list. An empty one says nothing. A host that
// announced itself lately may not be listed yet, unless calls to it fail. What
// is concluded depends on the time, so the same list is to be applied again now
// and then.
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
		m.list(h, now)
	}
	for id, known := range m.byID {
		if !listed[id] && (known.suspicion.Suspected || now.Sub(known.greeted) > helloGrace) {
			delete(m.byID, id)
		}
	}
}

func (m *Members) list(h topology.Host, now time.Time) {
	if h.ID == m.self.ID {
		return
	}
	known, ok := m.byID[h.ID]
	if !ok {
		m.byID[h.ID] = &member{host: h}
		return
	}
	if now.Sub(known.greeted) <= helloGrace {
		return
	}
	known.host = h
	if h.State == topology.HostLive && now.Sub(known.leaving) > leavingGrace {
		known.leaving = time.Time{}
	}
}

// Hello takes a host's own announcement. It ends what was held against the
// host, since a new process announces itself.
func (m *Members) Hello(h topology.Host, now time.Time) {
	if h.ID == m.self.ID {
		return
	}
	m.byID[h.ID] = &member{host: h, greeted: now}
}

// Leaving takes a host's announcement that it leaves. It returns whether that
// is news.
func (m *Members) Leaving(id topology.HostID, now time.Time) bool {
	known, ok := m.byID[id]
	if !ok {
		return false
	}
	news := known.leaving.IsZero()
	known.leaving = now
	return news
}

// LeaveSelf makes this host leaving.
func (m *Members) LeaveSelf() { m.self.State = topology.HostLeaving }

// Verdict is what follows from the fate of a call.
type Verdict int

// The verdicts.
const (
	Unchanged Verdict = iota
	Trusted           // the host was suspected
	Suspected         // by another host too, or on its word
	Accused           // by this host first: the others should hear of it
)

// Report takes the fate of a call to the host.
func (m *Members) Report(id topology.HostID, reachable bool, now time.Time) Verdict {
	known, ok := m.byID[id]
	if !ok {
		return Unchanged
	}
	before := known.suspicion
	if reachable {
		known.suspicion = before.succeeded(now)
	} else {
		known.suspicion = before.failed(now)
	}
	switch {
	case before.Suspected == known.suspicion.Suspected:
		return Unchanged
	case before.Suspected:
		return Trusted
	case before.Accused.IsZero():
		return Accused
	}
	return Suspected
}

// Accuse notes that another host suspects the host. This host calls it to see
// for itself (see Failing).
func (m *Members) Accuse(id topology.HostID, now time.Time) {
	if known, ok := m.byID[id]; ok && !known.suspicion.Suspected {
		known.suspicion = known.suspicion.accused(now)
	}
}

// Suspected tells whether the host counts as gone because calls to it fail.
func (m *Members) Suspected(id topology.HostID) bool {
	known, ok := m.byID[id]
	return ok && known.suspicion.Suspected
}

func (m *Members) failing(id topology.HostID) bool {
	known, ok := m.byID[id]
	return ok && known.failing()
}

// failing tells whether a success or failure of the next call matters.
func (k *member) failing() bool {
	s := k.suspicion
	return s.Suspected || s.Failures > 0 || !s.Accused.IsZero()
}

// Failing returns the hosts whose latest call failed, the accused and the suspected.
func (m *Members) Failing() []topology.HostID {
	var ids []topology.HostID
	for id, known := range m.byID {
		if known.failing() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Self returns this host with its state.
func (m *Members) Self() topology.Host { return m.self }

// Hosts returns all hosts, a suspected one as gone, in the order of their ids, this one included.
func (m *Members) Hosts() []topology.Host {
	hosts := make([]topology.Host, 0, len(m.byID)+1)
	hosts = append(hosts, m.self)
	for _, known := range m.byID {
		hosts = append(hosts, known.effective())
	}
	slices.SortFunc(hosts, func(a, b topology.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return hosts
}

func (k *member) effective() topology.Host {
	h := k.host
	if !k.leaving.IsZero() {
		h.State = topology.HostLeaving
	}
	if k.suspicion.Suspected {
		h.State = topology.HostGone
	}
	return h
}
