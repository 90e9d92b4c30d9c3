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
	bootIDTimeout = 250 * time.Millisecond // for an entry host to report its boot ID

	// orphanAfterMisses is how many queries in a row may stay unanswered. It
	// counts queries instead of time, so that a pause of this process doesn't
	// make an entry host look dead.
	orphanAfterMisses = 6
)

// hostTracker tracks whether the entry hosts of open streams are alive. Not
// safe for concurrent use.
type hostTracker struct {
	hosts map[topology.HostID]hostState
}

// hostState is what is known about one entry host.
type hostState struct {
	misses int    // consecutive calls without an answer
	boot   uint64 // boot ID in the last answer, 0 if there was none
}

func newHostTracker() *hostTracker {
	return &hostTracker{hosts: map[topology.HostID]hostState{}}
}

// retain tracks exactly the given hosts and forgets all others.
func (t *hostTracker) retain(hosts []topology.HostID) {
	kept := make(map[topology.HostID]hostState, len(hosts))
	for _, id := range hosts {
		kept[id] = t.hosts[id]
	}
	t.hosts = kept
}

// setBoot notes that a host has answered with its boot ID.
func (t *hostTracker) setBoot(id topology.HostID, boot uint64) { t.hosts[id] = hostState{boot: boot} }

func (t *hostTracker) recordMiss(id topology.HostID) {
	host := t.hosts[id]
	host.misses++
	t.hosts[id] = host
}

// orphaned reports whether a stream's entry host is gone: the host has
// restarted or no longer answers.
func (t *hostTracker) orphaned(id StreamID) bool {
	host := t.hosts[id.Host]
	restarted := host.boot != 0 && host.boot != id.Boot
	return restarted || host.misses >= orphanAfterMisses
}

// abortOrphans aborts the idle streams whose entry host is gone.
func (m *Manager) abortOrphans(ctx context.Context, tracker *hostTracker) {
	if m.opts.Peers == nil {
		return
	}
	streams := m.idleRemoteStreams()
	tracker.retain(hostsOf(streams))
	m.queryBootIDs(ctx, tracker)
	for _, s := range streams {
		if _, idle := s.idleSince(); idle && tracker.orphaned(s.id) {
			abandonedStreams.Inc()
			m.opts.Log.Info("aborted stream of a lost entry host", "host", s.id.Host, "boot", s.id.Boot, "seq", s.id.Seq)
			m.abortStream(s)
		}
	}
}

// idleRemoteStreams returns the idle streams whose entry host is not this host.
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

// queryBootIDs queries the boot IDs of all tracked hosts concurrently.
func (m *Manager) queryBootIDs(ctx context.Context, tracker *hostTracker) {
	ctx, cancel := context.WithTimeout(ctx, bootIDTimeout)
	defer cancel()
	var mu sync.Mutex // guards tracker
	var wg sync.WaitGroup
	for _, id := range slices.Collect(maps.Keys(tracker.hosts)) {
		wg.Go(func() {
			var reply BootReply
			err := m.opts.Peers.Call(ctx, id, ServiceName+".BootID", &Empty{}, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				tracker.recordMiss(id)
				return
			}
			tracker.setBoot(id, reply.Boot)
		})
	}
	wg.Wait()
}
