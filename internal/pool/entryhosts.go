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
	hostTimeout  = 250 * time.Millisecond // for an entry host to tell its boot
	orphanMisses = 6                      // questions in a row without an answer; a pause of this process isn't one
)

// entryHosts knows how the entry hosts of open streams answered lately. Not safe
// for concurrent use.
type entryHosts struct {
	seen map[topology.HostID]seenHost
}

type seenHost struct {
	misses int    // since the last answer
	boot   uint64 // of the last answer, 0: there was none
}

func newEntryHosts() *entryHosts {
	return &entryHosts{seen: map[topology.HostID]seenHost{}}
}

// keep forgets all hosts but these.
func (e *entryHosts) keep(hosts []topology.HostID) {
	kept := make(map[topology.HostID]seenHost, len(hosts))
	for _, id := range hosts {
		kept[id] = e.seen[id]
	}
	e.seen = kept
}

func (e *entryHosts) answered(id topology.HostID, boot uint64) { e.seen[id] = seenHost{boot: boot} }

func (e *entryHosts) missed(id topology.HostID) {
	host := e.seen[id]
	host.misses++
	e.seen[id] = host
}

// orphaned tells whether a stream's entry host is gone: another process answers
// in its place, or nobody does any more.
func (e *entryHosts) orphaned(id StreamID) bool {
	host := e.seen[id.Host]
	restarted := host.boot != 0 && host.boot != id.Boot
	return restarted || host.misses >= orphanMisses
}

// endOrphans rolls back the idle streams whose entry host is gone.
func (m *Manager) endOrphans(ctx context.Context, hosts *entryHosts) {
	if m.opts.Peers == nil {
		return
	}
	streams := m.idleRemoteStreams()
	hosts.keep(hostsOf(streams))
	m.askBoots(ctx, hosts)
	for _, s := range streams {
		if _, idle := s.idleSince(); idle && hosts.orphaned(s.id) {
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
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				hosts.missed(id)
				return
			}
			hosts.answered(id, reply.Boot)
		})
	}
	wg.Wait()
}
