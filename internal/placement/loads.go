package placement

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// loadTTL is how long a reported load is used: a few times as long as a
	// request holds a connection, and the same time as for an offer received
	// by gossip.
	loadTTL = 1200 * time.Millisecond
	// minFailureBackoff is how long a host isn't asked after a failed call. It
	// is about the time until a dead host's connections are known to be dead.
	// A later load report of the host ends the backoff. The backoff doubles
	// with each further failure up to maxFailureBackoff; by then a silent host
	// no longer counts as live.
	minFailureBackoff = 1 * time.Second
	maxFailureBackoff = 8 * time.Second
	// idleEntryTTL is how long an entry is kept after the last statement sent
	// to its host.
	idleEntryTTL = 1 * time.Minute
)

// loadKey identifies a host's load for one group.
type loadKey struct {
	host  topology.HostID
	group topology.GroupID
}

// hostLoad is the load that a host last reported, and what this host sent it
// since.
type hostLoad struct {
	reported   Load
	reportedAt time.Time
	sentSince  int // statements since that report
	lastSentAt time.Time
	failedAt   time.Time     // when the last call failed; zero if it succeeded
	backoff    time.Duration // how long the host isn't asked after failedAt
}

// Loads tracks the load that other hosts report with their answers. It is safe
// for concurrent use.
type Loads struct {
	mu      sync.Mutex
	entries map[loadKey]*hostLoad
}

// RecordSent records that a statement is sent to the host.
func (l *Loads) RecordSent(host topology.HostID, group topology.GroupID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.getOrCreate(loadKey{host, group}, now)
	if now.Sub(entry.lastSentAt) > loadTTL {
		entry.sentSince = 0 // these statements have ended by now, with or without success
	}
	entry.sentSince++
	entry.lastSentAt = now
}

// RecordAnswer records the load that the host reported with an answer.
func (l *Loads) RecordAnswer(host topology.HostID, group topology.GroupID, load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.getOrCreate(loadKey{host, group}, now)
	*entry = hostLoad{reported: load, reportedAt: now, lastSentAt: entry.lastSentAt}
}

// RecordFailure records that a call to the host failed.
func (l *Loads) RecordFailure(host topology.HostID, group topology.GroupID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.getOrCreate(loadKey{host, group}, now)
	entry.failedAt, entry.backoff = now, min(max(2*entry.backoff, minFailureBackoff), maxFailureBackoff)
}

// getOrCreate returns the entry of k, and drops idle entries before it adds
// one. The caller must hold l.mu.
func (l *Loads) getOrCreate(k loadKey, now time.Time) *hostLoad {
	if entry := l.entries[k]; entry != nil {
		return entry
	}
	for otherKey, entry := range l.entries {
		if now.Sub(entry.lastSentAt) > idleEntryTTL {
			delete(l.entries, otherKey)
		}
	}
	if l.entries == nil {
		l.entries = map[loadKey]*hostLoad{}
	}
	l.entries[k] = &hostLoad{}
	return l.entries[k]
}

// CurrentOffers returns the offers of a group with the best current estimate of each
// host's load: the newest report, less the statements sent since. Hosts in
// backoff after a failed call are left out.
func (l *Loads) CurrentOffers(group topology.GroupID, offers []Offer, now time.Time) []Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := offers[:0:0]
	for _, o := range offers {
		entry := l.entries[loadKey{o.Host, group}]
		if entry == nil {
			current = append(current, o)
			continue
		}
		if now.Sub(entry.failedAt) < entry.backoff && o.RequestedAt.Before(entry.failedAt) {
			continue
		}
		current = append(current, entry.adjust(o, now))
	}
	return current
}

// adjust replaces the load of o by a newer report, and subtracts the statements
// sent recently.
func (h *hostLoad) adjust(o Offer, now time.Time) Offer {
	if h.reportedAt.After(o.RequestedAt) && now.Sub(h.reportedAt) < loadTTL {
		o.Load, o.RequestedAt = h.reported, h.reportedAt
	}
	if now.Sub(h.lastSentAt) < loadTTL {
		o.Idle -= h.sentSince
		o.LeaderIdle -= h.sentSince
	}
	return o
}
