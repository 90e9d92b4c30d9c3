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
	heartbeatEvery   = 1 * time.Second
	heartbeatTimeout = 500 * time.Millisecond
	recheckEvery     = 250 * time.Millisecond // of hosts whose latest call failed
	neighbors        = 2                      // hosts that each host watches
	maxRechecks      = 16                     // hosts rechecked at once
)

// Neighbors returns the hosts that self watches: those that follow it in the
// ring of the hosts of its domain, so that each host is watched by as many.
func Neighbors(self topology.Host, hosts []topology.Host) []topology.HostID {
	type place struct {
		id   topology.HostID
		hash uint64
	}
	var ring []place
	for _, h := range hosts {
		if h.Domain == self.Domain && h.State == topology.HostLive && h.ID != self.ID {
			ring = append(ring, place{id: h.ID, hash: xxhash.Sum64String(string(h.ID))})
		}
	}
	own := xxhash.Sum64String(string(self.ID))
	slices.SortFunc(ring, func(a, b place) int {
		return compareUint(a.hash-own, b.hash-own)
	})
	var ids []topology.HostID
	for _, p := range ring[:min(neighbors, len(ring))] {
		ids = append(ids, p.id)
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

// Run watches this host's neighbors and rechecks failing hosts until ctx ends.
func (t *Tracker) Run(ctx context.Context, caller peer.Caller) {
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	recheck := time.NewTicker(recheckEvery)
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
			t.pingAll(ctx, &calls, caller, t.failing())
		case id := <-t.suspects:
			t.log.Info("host suspected", "host", id)
			calls.Go(func() { t.announce(ctx, caller, ServiceName+".Accuse", Accusation{Host: id}) })
		}
	}
}

func (t *Tracker) failing() []topology.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := t.members.Failing()
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(maxRechecks, len(ids))]
}

// pingAll starts one ping per host; a host that is still being pinged is left out.
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
		t.noteState(id, host)
	}
}

// noteState takes a host's answer to a ping.
func (t *Tracker) noteState(id topology.HostID, h topology.Host) {
	if h.ID == id && h.State == topology.HostLeaving {
		t.NoteLeaving(id)
	}
}
