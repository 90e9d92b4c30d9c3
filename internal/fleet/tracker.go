package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Tracker keeps Members up to date and publishes a snapshot after each change. It
// implements View. Its inputs are the platform's host list (Apply), heartbeats
// (Run), the announcements of other hosts (Service) and the results of calls
// (RecordCall).
type Tracker struct {
	log logr.Logger

	mu      sync.Mutex // guards members and serializes publish
	members *Members

	current     atomic.Pointer[snapshot]
	newSuspects chan topology.HostID // hosts that this host suspected first; Run announces them
	pinging     sync.Map             // set of HostID with a ping in progress
}

// snapshot is a published state of the fleet. Its hosts and index are immutable.
type snapshot struct {
	version     uint64
	hosts       []topology.Host
	byID        map[topology.HostID]topology.Host
	index       *Index
	holderCache sync.Map      // holderKey -> []topology.HostID, filled on demand
	changed     chan struct{} // closed when the next snapshot is published
}

type holderKey struct {
	target topology.TargetID
	domain topology.Domain
	slots  int
}

// NewTracker returns a Tracker that knows only this host.
func NewTracker(self topology.Host, log logr.Logger) *Tracker {
	if self.State == "" {
		self.State = topology.HostLive
	}
	t := &Tracker{log: log, members: NewMembers(self), newSuspects: make(chan topology.HostID, maxRechecksPerTick)}
	t.current.Store(newSnapshot(0, t.members.Hosts()))
	return t
}

func newSnapshot(version uint64, hosts []topology.Host) *snapshot {
	s := &snapshot{
		version: version,
		hosts:   hosts,
		byID:    make(map[topology.HostID]topology.Host, len(hosts)),
		index:   NewIndex(hosts),
		changed: make(chan struct{}),
	}
	for _, h := range hosts {
		s.byID[h.ID] = h
	}
	return s
}

// update calls mutate on the members and publishes them if it returns true.
func (t *Tracker) update(mutate func(*Members) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mutate(t.members) {
		t.publish()
	}
}

// publish replaces the current snapshot if the hosts have changed. The caller
// holds t.mu.
func (t *Tracker) publish() {
	old := t.current.Load()
	hosts := t.members.Hosts()
	if slices.Equal(hosts, old.hosts) {
		return
	}
	t.current.Store(newSnapshot(old.version+1, hosts))
	close(old.changed)
	t.log.Info("fleet changed", "version", old.version+1, "hosts", len(hosts))
}

// Apply merges the platform's list of hosts (see Members.Apply).
func (t *Tracker) Apply(hosts []topology.Host) {
	t.update(func(m *Members) bool {
		m.Apply(hosts, time.Now())
		return true
	})
}

// Self implements View.
func (t *Tracker) Self() topology.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members.Self()
}

// Hosts implements View. The result must not be changed.
func (t *Tracker) Hosts() []topology.Host { return t.current.Load().hosts }

// Host implements View.
func (t *Tracker) Host(id topology.HostID) (topology.Host, bool) {
	h, ok := t.current.Load().byID[id]
	return h, ok
}

// PeerAddr returns the address of the host for peer calls.
func (t *Tracker) PeerAddr(id topology.HostID) (string, bool) {
	h, ok := t.Host(id)
	return h.PeerAddr, ok
}

// Holders implements View. The result must not be changed.
func (t *Tracker) Holders(target topology.Target) []topology.HostID {
	return t.current.Load().holdersOf(target)
}

func (s *snapshot) holdersOf(target topology.Target) []topology.HostID {
	key := holderKey{target: target.ID, domain: target.Domain, slots: target.Slots}
	if cached, ok := s.holderCache.Load(key); ok {
		return cached.([]topology.HostID)
	}
	holders := s.index.Holders(target)
	s.holderCache.Store(key, holders)
	return holders
}

// HeldBy returns the slots of the targets that the host holds. It returns none for
// a host that is unknown or not live.
func (t *Tracker) HeldBy(id topology.HostID, targets []topology.Target) []HeldSlot {
	s := t.current.Load()
	h, ok := s.byID[id]
	if !ok || h.State != topology.HostLive {
		return nil
	}
	return s.index.heldBy(h, targets, s.holdersOf)
}

// Changed returns a channel that is closed at the next change of the hosts. Call it
// before reading the state, so that no change in between is missed.
func (t *Tracker) Changed() <-chan struct{} { return t.current.Load().changed }

// RecordCall implements View.
func (t *Tracker) RecordCall(id topology.HostID, reachable bool) {
	t.update(func(m *Members) bool {
		if reachable && !m.needsRecheck(id) {
			return false // the common case: nothing to update
		}
		change := m.RecordCall(id, reachable, time.Now())
		if change == SuspectedFirst {
			t.queueAccusation(id)
		}
		return change != Unchanged
	})
}

// queueAccusation makes Run announce the suspicion to the other hosts. If the queue
// is full the accusation is dropped, and the other hosts that send heartbeats to
// the suspected host detect the failure themselves.
func (t *Tracker) queueAccusation(id topology.HostID) {
	select {
	case t.newSuspects <- id:
	default:
	}
}

// NoteLeaving records that another host announced that it is leaving.
func (t *Tracker) NoteLeaving(id topology.HostID) {
	t.update(func(m *Members) bool { return m.MarkLeaving(id, time.Now()) })
}

// Leave marks this host as leaving, so that it holds no slots. AnnounceLeaving also
// informs the other hosts.
func (t *Tracker) Leave() {
	t.update(func(m *Members) bool {
		m.MarkSelfLeaving()
		return true
	})
}

var _ View = (*Tracker)(nil)
