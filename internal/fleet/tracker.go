package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Tracker keeps Members up to date and publishes what follows from them. It
// implements View. Apply feeds it the platform's list, Run its heartbeats.
type Tracker struct {
	log logr.Logger

	mu      sync.Mutex // guards members, and orders publications
	members *Members

	current  atomic.Pointer[snapshot]
	suspects chan topology.HostID // newly suspected by this host, for Run
	pinging  sync.Map             // HostID to true while a ping is under way
}

// snapshot is one published state of the fleet.
type snapshot struct {
	version uint64
	hosts   []topology.Host
	byID    map[topology.HostID]topology.Host
	index   *Index
	holders sync.Map      // holderKey to []topology.HostID, filled on demand
	next    chan struct{} // closed when the next snapshot is published
}

type holderKey struct {
	target topology.TargetID
	domain topology.Domain
	slots  int
}

// NewTracker returns a tracker that knows of this host alone.
func NewTracker(self topology.Host, log logr.Logger) *Tracker {
	if self.State == "" {
		self.State = topology.HostLive
	}
	t := &Tracker{log: log, members: NewMembers(self), suspects: make(chan topology.HostID, maxRechecks)}
	t.current.Store(newSnapshot(0, t.members.Hosts()))
	return t
}

func newSnapshot(version uint64, hosts []topology.Host) *snapshot {
	s := &snapshot{
		version: version,
		hosts:   hosts,
		byID:    make(map[topology.HostID]topology.Host, len(hosts)),
		index:   NewIndex(hosts),
		next:    make(chan struct{}),
	}
	for _, h := range hosts {
		s.byID[h.ID] = h
	}
	return s
}

// update changes the members. If change returns true it publishes them.
func (t *Tracker) update(change func(*Members) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change(t.members) {
		t.publish()
	}
}

func (t *Tracker) publish() {
	old := t.current.Load()
	hosts := t.members.Hosts()
	if slices.Equal(hosts, old.hosts) {
		return
	}
	t.current.Store(newSnapshot(old.version+1, hosts))
	close(old.next)
	t.log.Info("fleet changed", "version", old.version+1, "hosts", len(hosts))
}

// Apply takes the platform's list of hosts.
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

// PeerAddr returns the address at which other hosts call the host.
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
	if known, ok := s.holders.Load(key); ok {
		return known.([]topology.HostID)
	}
	holders := s.index.Holders(target)
	s.holders.Store(key, holders)
	return holders
}

// HeldBy returns the slots of the targets that the host holds. It is empty for
// a host that isn't known or isn't live.
func (t *Tracker) HeldBy(id topology.HostID, targets []topology.Target) []Held {
	s := t.current.Load()
	h, ok := s.byID[id]
	if !ok || h.State != topology.HostLive {
		return nil
	}
	return s.index.heldBy(h, targets, s.holdersOf)
}

// Changed returns a channel that is closed at the next change of the hosts.
// Take it before reading the state that the change would outdate.
func (t *Tracker) Changed() <-chan struct{} { return t.current.Load().next }

// Report implements View.
func (t *Tracker) Report(id topology.HostID, reachable bool) {
	t.update(func(m *Members) bool {
		if reachable && !m.failing(id) {
			return false // the usual case
		}
		verdict := m.Report(id, reachable, time.Now())
		if verdict == Accused {
			t.accuse(id)
		}
		return verdict != Unchanged
	})
}

// accuse has Run tell the others. More suspects than the queue holds are left
// to the other hosts that watch them.
func (t *Tracker) accuse(id topology.HostID) {
	select {
	case t.suspects <- id:
	default:
	}
}

// NoteLeaving takes another host's answer that it leaves.
func (t *Tracker) NoteLeaving(id topology.HostID) {
	t.update(func(m *Members) bool { return m.Leaving(id, time.Now()) })
}

// Leave makes this host leaving, so that it holds no slot. Announce tells the
// others.
func (t *Tracker) Leave() {
	t.update(func(m *Members) bool {
		m.LeaveSelf()
		return true
	})
}

var _ View = (*Tracker)(nil)
