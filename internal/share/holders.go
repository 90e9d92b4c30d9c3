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
	version uint64 // of the list of hosts
	index   *fleet.Index
	groups  map[topology.GroupID][]topology.Host
	// weighted are the holders of groups whose connections belong to customers.
	weighted      map[topology.GroupID][]topology.Host
	weightedIndex *weightedIndex // nil until it is needed
}

// WeightedForGroup is ForGroup where connections belong to customers, see
// WeightedHolders. The choice costs a pass over all hosts for each group whenever the list
// changes, so that it is made without holding h.mu, which the routing of requests takes.
func (h *Holders) WeightedForGroup(id topology.GroupID, n int, hosts []topology.Host, version uint64) []topology.Host {
	h.mu.Lock()
	h.update(hosts, version)
	if holders := h.weighted[id]; len(holders) == n {
		h.mu.Unlock()
		return holders
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
		h.weighted[id] = holders
	}
	return holders
}

// update drops what was computed for another list of hosts. The caller holds h.mu.
func (h *Holders) update(hosts []topology.Host, version uint64) {
	if h.index == nil || h.version != version {
		h.version, h.index = version, fleet.NewIndex(hosts)
		h.groups, h.weighted = map[topology.GroupID][]topology.Host{}, map[topology.GroupID][]topology.Host{}
		h.weightedIndex = nil
	}
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
			holders = append(holders, h.index.Holders(topology.Target{ID: topology.TargetID(id), Domain: domain, Slots: counts[domain]})...)
		}
		return holders
	})
}

// ForGroup returns the n holders of a group among hosts. version must change whenever
// hosts does. The caller must not modify the result.
func (h *Holders) ForGroup(id topology.GroupID, n int, hosts []topology.Host, version uint64) []topology.Host {
	return h.forGroup(id, n, hosts, version, func() []topology.HostID {
		return h.index.Holders(topology.Target{ID: topology.TargetID(id), Slots: n})
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
