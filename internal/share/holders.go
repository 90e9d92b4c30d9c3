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
	weighted map[topology.GroupID][]topology.Host
}

// WeightedForGroup is ForGroup where connections belong to customers, see
// WeightedHolders.
func (h *Holders) WeightedForGroup(id topology.GroupID, n int, hosts []topology.Host, version uint64) []topology.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(hosts, version)
	if len(h.weighted[id]) != n {
		h.weighted[id] = WeightedHolders(id, n, hosts)
	}
	return h.weighted[id]
}

// update drops what was computed for another list of hosts. The caller holds h.mu.
func (h *Holders) update(hosts []topology.Host, version uint64) {
	if h.index == nil || h.version != version {
		h.version, h.index = version, fleet.NewIndex(hosts)
		h.groups, h.weighted = map[topology.GroupID][]topology.Host{}, map[topology.GroupID][]topology.Host{}
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
