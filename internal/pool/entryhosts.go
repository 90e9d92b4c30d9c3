package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	hostTimeout = 250 * time.Millisecond  // for an entry host to tell its boot
	orphanAfter = 1500 * time.Millisecond // without an answer of the entry host
)

// entryHosts knows when the entry hosts of open streams last answered, and
// which process did. Not safe for concurrent use.
type entryHosts struct {
	seen map[topology.HostID]seenHost
}

type seenHost struct {
	at   time.Time // of the last answer, at first of the first question
	boot uint64    // 0: it hasn't answered yet
}

func newEntryHosts() *entryHosts {
	return &entryHosts{seen: map[topology.HostID]seenHost{}}
}

// keep forgets all hosts but these and begins to time the new ones.
func (e *entryHosts) keep(hosts []topology.HostID, now time.Time) {
	kept := make(map[topology.HostID]seenHost, len(hosts))
	for _, id := range hosts {
		old, known := e.seen[id]
		if !known {
			old = seenHost{at: now}
		}
		kept[id] = old
	}
	e.seen = kept
}

func (e *entryHosts) answered(id topology.HostID, boot uint64, now time.Time) {
	e.seen[id] = seenHost{at: now, boot: boot}
}

// orphaned tells whether a stream's entry host is gone: another process answers
// in its place, or nobody for long.
func (e *entryHosts) orphaned(id StreamID, now time.Time) bool {
	host, known := e.seen[id.Host]
	if !known {
		return false
	}
	if host.boot != 0 && host.boot != id.Boot {
		return true
	}
	return now.Sub(host.at) > orphanAfter
}

// endOrphans rolls back the idle streams whose entry host is gone.
func (m *Manager) endOrphans(ctx context.Context, hosts *entryHosts) {
	if m.opts.Peers == nil {
		return
	}
	streams := m.idleRemoteStreams()
	hosts.keep(hostsOf(streams), time.Now())
	m.askBoots(ctx, hosts)
	now := time.Now()
	for _, s := range streams {
		if _, idle := s.idleSince(); idle && hosts.orphaned(s.id, now) {
			endedStreams.Inc()
			m.opts.Log.Info("stream of a lost entry host ended", "host", s.id.Host, "boot", s.id.Boot, "seq", s.id.Seq)
			m.abandon(s)
		}
	}
}

func (m *Manager) idleRemoteStreams() []*stream {
	var idle []*stream
	for _, s := range m.streams.all() {
		if _, unused := s.idleSince(); unused && s.id.Host != m.opts.Self.ID {
			idle = append(idle, s)
		}
	}
	return idle
}

func hostsOf(streams []*stream) []topology.HostID {
	known := map[topology.HostID]bool{}
	var hosts []topology.HostID
	for _, s := range streams {
		if !known[s.id.Host] {
			known[s.id.Host] = true
			hosts = append(hosts, s.id.Host)
		}
	}
	return hosts
}

// askBoots asks all hosts at once.
func (m *Manager) askBoots(ctx context.Context, hosts *entryHosts) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var mu sync.Mutex // guards hosts
	var wg sync.WaitGroup
	for _, id := range slices.Collect(maps.Keys(hosts.seen)) {
		wg.Go(func() {
			var reply BootReply
			err := m.opts.Peers.Call(ctx, id, ServiceName+".BootID", &Empty{}, &reply)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			hosts.answered(id, reply.Boot, time.Now())
		})
	}
	wg.Wait()
}
