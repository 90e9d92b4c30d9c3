package placement

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// freshFor is how long what a host said of its load is used: a few of the
	// times for which a request keeps a connection, as long as an offer that
	// gossip tells of counts.
	freshFor = 1200 * time.Millisecond
	// failedFor is how long a host isn't asked after a call to it failed, unless
	// it was heard of since: about what it takes until a dead host's connections
	// are known to be dead. It doubles with each further failure, up to lastFailedFor,
	// when a silent host doesn't count as live any more.
	failedFor     = 1 * time.Second
	lastFailedFor = 8 * time.Second
	// forgetAfter is when a host that isn't asked any more is forgotten.
	forgetAfter = 1 * time.Minute
)

type key struct {
	host  topology.HostID
	group topology.GroupID
}

// heard is what a host said of its load last, and what it was sent since.
type heard struct {
	said   Load
	saidAt time.Time
	sent   int // statements since it said so
	sentAt time.Time
	failed time.Time     // when a call failed; zero: the last one didn't
	shun   time.Duration // for how long it isn't asked then
}

// Loads remembers what other hosts say of their load in their answers. Safe for
// concurrent use.
type Loads struct {
	mu    sync.Mutex
	hosts map[key]*heard
}

// Sent notes that the host is sent a statement.
func (l *Loads) Sent(host topology.HostID, group topology.GroupID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.of(key{host, group}, now)
	if now.Sub(h.sentAt) > freshFor {
		h.sent = 0 // those have ended, one way or the other
	}
	h.sent++
	h.sentAt = now
}

// Answered notes the load that the host told with an answer.
func (l *Loads) Answered(host topology.HostID, group topology.GroupID, load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.of(key{host, group}, now)
	*h = heard{said: load, saidAt: now, sentAt: h.sentAt}
}

// Failed notes that a call to the host failed.
func (l *Loads) Failed(host topology.HostID, group topology.GroupID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.of(key{host, group}, now)
	h.failed, h.shun = now, min(max(2*h.shun, failedFor), lastFailedFor)
}

// of needs l.mu.
func (l *Loads) of(k key, now time.Time) *heard {
	if h := l.hosts[k]; h != nil {
		return h
	}
	for other, h := range l.hosts {
		if now.Sub(h.sentAt) > forgetAfter {
			delete(l.hosts, other)
		}
	}
	if l.hosts == nil {
		l.hosts = map[key]*heard{}
	}
	l.hosts[k] = &heard{}
	return l.hosts[k]
}

// Present returns the offers of a group with the loads as they are known best
// now: the newest that was told, less what was sent since. Hosts to which a call
// failed just now are left out.
func (l *Loads) Present(group topology.GroupID, offers []Offer, now time.Time) []Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := offers[:0:0]
	for _, o := range offers {
		h := l.hosts[key{o.Host, group}]
		if h == nil {
			present = append(present, o)
			continue
		}
		if now.Sub(h.failed) < h.shun && o.At.Before(h.failed) {
			continue
		}
		present = append(present, h.adjust(o, now))
	}
	return present
}

func (h *heard) adjust(o Offer, now time.Time) Offer {
	if h.saidAt.After(o.At) && now.Sub(h.saidAt) < freshFor {
		o.Load, o.At = h.said, h.saidAt
	}
	if now.Sub(h.sentAt) < freshFor {
		o.Idle -= h.sent
		o.LeaderIdle -= h.sent
	}
	return o
}
