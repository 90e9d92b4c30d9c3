package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	heartbeatInterval  = 1 * time.Second
	heartbeatTimeout   = 500 * time.Millisecond
	recheckInterval    = 250 * time.Millisecond // between pings to each host of HostsToRecheck
	neighborCount      = 2                      // hosts that each host sends heartbeats to
	maxRechecksPerTick = 16                     // hosts rechecked per recheckInterval; also the capacity of newSuspects
)

// Neighbors returns the hosts that self sends heartbeats to: its successors in the
// hash ring of the live hosts in its domain. Hence each of those hosts also gets
// heartbeats from neighborCount hosts.
func Neighbors(self topology.Host, hosts []topology.Host) []topology.HostID {
	type ringEntry struct {
		id   topology.HostID
		hash uint64
	}
	var ring []ringEntry
	for _, h := range hosts {
		if h.Domain == self.Domain && h.State == topology.HostLive && h.ID != self.ID {
			ring = append(ring, ringEntry{id: h.ID, hash: xxhash.Sum64String(string(h.ID))})
		}
	}
	ownHash := xxhash.Sum64String(string(self.ID))
	slices.SortFunc(ring, func(a, b ringEntry) int {
		return compareUint(a.hash-ownHash, b.hash-ownHash)
	})
	var ids []topology.HostID
	for _, entry := range ring[:min(neighborCount, len(ring))] {
		ids = append(ids, entry.id)
	}
	return ids
}

func compareUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Run sends heartbeats to this host's neighbors, rechecks hosts that may have
// failed and announces new suspicions until ctx ends.
func (t *Tracker) Run(ctx context.Context, caller peer.Caller) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			t.pingAll(ctx, &calls, caller, Neighbors(t.Self(), t.Hosts()))
		case <-recheck.C:
			t.pingAll(ctx, &calls, caller, t.recheckBatch())
		case id := <-t.newSuspects:
			t.log.Info("host suspected", "host", id)
			calls.Go(func() { t.announce(ctx, caller, ServiceName+".Accuse", Accusation{Host: id}) })
		}
	}
}

// recheckBatch returns a random selection of the hosts to recheck.
func (t *Tracker) recheckBatch() []topology.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := t.members.HostsToRecheck()
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(maxRechecksPerTick, len(ids))]
}

// pingAll starts one ping per host. It skips hosts with a ping still in progress.
func (t *Tracker) pingAll(ctx context.Context, calls *sync.WaitGroup, caller peer.Caller, ids []topology.HostID) {
	for _, id := range ids {
		if _, busy := t.pinging.LoadOrStore(id, true); busy {
			continue
		}
		calls.Go(func() {
			defer t.pinging.Delete(id)
			t.ping(ctx, caller, id)
		})
	}
}

func (t *Tracker) ping(ctx context.Context, caller peer.Caller, id topology.HostID) {
	var host topology.Host
	if t.call(ctx, caller, id, ServiceName+".Ping", t.Self().ID, &host, heartbeatTimeout) {
		t.handlePingReply(id, host)
	}
}

// handlePingReply records that the host is leaving if its answer to a ping says so.
func (t *Tracker) handlePingReply(id topology.HostID, h topology.Host) {
	if h.ID == id && h.State == topology.HostLeaving {
		t.NoteLeaving(id)
	}
}
