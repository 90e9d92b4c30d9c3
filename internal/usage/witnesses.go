package usage

import (
	"fmt"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// witnessCount is the number of hosts that store a copy of a source's readings.
const witnessCount = 2

// Witnesses returns the hosts that store a copy of a source's readings. It selects
// live hosts by rendezvous hashing and prefers hosts in other failure domains.
func Witnesses(source Source, hosts []topology.Host) []topology.HostID {
	domain := domainOf(source.Host, hosts)
	type candidate struct {
		id         topology.HostID
		sameDomain bool
		weight     uint64
	}
	var candidates []candidate
	for _, host := range hosts {
		if host.ID == source.Host || host.State != topology.HostLive {
			continue
		}
		key := fmt.Sprintf("%s\x00%d\x00%s", source.Host, source.Boot, host.ID)
		candidates = append(candidates, candidate{host.ID, host.Domain == domain, xxhash.Sum64String(key)})
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.sameDomain != b.sameDomain {
			return b.sameDomain
		}
		return a.weight > b.weight || a.weight == b.weight && a.id < b.id
	})
	var ids []topology.HostID
	for _, c := range candidates[:min(witnessCount, len(candidates))] {
		ids = append(ids, c.id)
	}
	return ids
}

func domainOf(id topology.HostID, hosts []topology.Host) topology.Domain {
	for _, host := range hosts {
		if host.ID == id {
			return host.Domain
		}
	}
	return ""
}

// witnessCache caches the witnesses of each source until the list of hosts
// changes. Not safe for concurrent use.
type witnessCache struct {
	hosts    []topology.Host
	bySource map[Source][]topology.HostID
	listed   map[topology.HostID]bool
}

func (c *witnessCache) refresh(hosts []topology.Host) {
	if c.bySource != nil && slices.Equal(c.hosts, hosts) {
		return
	}
	c.hosts = hosts
	c.bySource = map[Source][]topology.HostID{}
	c.listed = make(map[topology.HostID]bool, len(hosts))
	for _, h := range hosts {
		c.listed[h.ID] = true
	}
}

func (c *witnessCache) of(source Source) []topology.HostID {
	ids, ok := c.bySource[source]
	if !ok {
		ids = Witnesses(source, c.hosts)
		c.bySource[source] = ids
	}
	return ids
}

// fleet returns a view of the hosts given to the last refresh.
func (c *witnessCache) fleet() FleetView {
	return FleetView{Witnesses: c.of, Listed: func(id topology.HostID) bool { return c.listed[id] }}
}
