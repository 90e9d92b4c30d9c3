package share

import (
	"maps"
	"slices"
	"sync"

	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Holders caches which hosts hold the connections to each group's targets,
// until the list of hosts changes, because every forwarded request looks them
// up. The zero value is ready to use. Holders is safe for concurrent use.
type Holders struct {
	mu      sync.Mutex
	known   bool   // whether there is a list of hosts yet
	version uint64 // of the list of hosts
	hosts   []topology.Host
	index   *fleet.Index // nil until it is needed
	groups  map[topology.GroupID][]topology.Host
	// weighted are the holders of groups whose connections belong to customers.
	weighted      map[topology.GroupID]*weightedEntry
	weightedIndex *weightedIndex // nil until it is needed
	// changes are the latest changes of the list of hosts, the last of which has the
	// number changeCount.
	changes     []hostChange
	changeCount int
}

// weightedEntry has the holders of one group as of the change with the number applied.
type weightedEntry struct {
	holders []topology.Host
	applied int
}

// maxHostChanges is how many changes of the list of hosts are kept. Groups are looked up
// several times a second, and are chosen anew after more changes than that.
const maxHostChanges = 64

// WeightedForGroup is ForGroup where connections belong to customers, see
// WeightedHolders. The choice costs a pass over all hosts for each group, so that it is made
// without holding h.mu, which the routing of requests takes, and is kept when hosts join or
// leave that don't belong to it. The same slice is returned until the holders change.
func (h *Holders) WeightedForGroup(id topology.GroupID, n int, hosts []topology.Host, version uint64) []topology.Host {
	h.mu.Lock()
	h.update(hosts, version)
	if e := h.weighted[id]; e != nil && len(e.holders) == n && h.applyChanges(id, e) {
		h.mu.Unlock()
		return e.holders
	}
	if h.weightedIndex == nil {
		h.weightedIndex = newWeightedIndex(hosts)
	}
	index := h.weightedIndex
	h.mu.Unlock()
	holders := index.holders(id, n)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.weightedIndex == index { // otherwise the list has changed
		h.weighted[id] = &weightedEntry{holders, h.changeCount}
	}
	return holders
}

// applyChanges reports whether the entry is still valid after the changes of the list of
// hosts since it was made. The caller holds h.mu.
func (h *Holders) applyChanges(id topology.GroupID, e *weightedEntry) bool {
	missing := h.changeCount - e.applied
	if missing > len(h.changes) {
		return false
	}
	for _, c := range h.changes[len(h.changes)-missing:] {
		if c.affects(id, e.holders) {
			return false
		}
	}
	e.applied = h.changeCount
	return true
}

// update records another list of hosts and drops what was computed for the previous one.
// The caller holds h.mu.
func (h *Holders) update(hosts []topology.Host, version uint64) {
	if h.known && h.version == version {
		return
	}
	changes, ok := changesBetween(h.hosts, hosts)
	if !h.known || !ok {
		h.weighted, h.changes, h.changeCount = map[topology.GroupID]*weightedEntry{}, nil, 0
	} else {
		h.changes, h.changeCount = append(h.changes, changes...), h.changeCount+len(changes)
		h.changes = slices.Delete(h.changes, 0, max(len(h.changes)-maxHostChanges, 0))
	}
	h.known, h.version, h.hosts = true, version, hosts
	h.index, h.weightedIndex, h.groups = nil, nil, map[topology.GroupID][]topology.Host{}
}

// rendezvous returns the index of the hosts for groups without customers. The caller holds
// h.mu.
func (h *Holders) rendezvous() *fleet.Index {
	if h.index == nil {
		h.index = fleet.NewIndex(h.hosts)
	}
	return h.index
}

// ForGroupByDomain is like ForGroup, but distributes the holders over the failure
// domains by locality.HoldersPerDomain.
func (h *Holders) ForGroupByDomain(id topology.GroupID, n int, hosts []topology.Host, version uint64) []topology.Host {
	return h.forGroup(id, n, hosts, version, func() []topology.HostID {
		hostCount := map[topology.Domain]int{}
		for _, host := range hosts {
			hostCount[host.Domain]++
		}
		var holders []topology.HostID
		counts := locality.HoldersPerDomain(hostCount, n)
		for _, domain := range slices.Sorted(maps.Keys(counts)) {
			holders = append(holders, h.rendezvous().Holders(topology.Target{ID: topology.TargetID(id), Domain: domain, Slots: counts[domain]})...)
		}
		return holders
	})
}

// ForGroup returns the n holders of a group among hosts. version must change whenever
// hosts does. The caller must not modify the result.
func (h *Holders) ForGroup(id topology.GroupID, n int, hosts []topology.Host, version uint64) []topology.Host {
	return h.forGroup(id, n, hosts, version, func() []topology.HostID {
		return h.rendezvous().Holders(topology.Target{ID: topology.TargetID(id), Slots: n})
	})
}

// forGroup returns the hosts that choose returns, from the cache if possible.
func (h *Holders) forGroup(id topology.GroupID, n int, hosts []topology.Host, version uint64, choose func() []topology.HostID) []topology.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(hosts, version)
	if len(h.groups[id]) != n {
		h.groups[id] = nil
		for _, holder := range choose() {
			i := slices.IndexFunc(hosts, func(host topology.Host) bool { return host.ID == holder })
			h.groups[id] = append(h.groups[id], hosts[i])
		}
	}
	return h.groups[id]
}
