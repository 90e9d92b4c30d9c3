package customer

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	relaysPerDomain   = 2 // relays watch the platform
	standbysPerDomain = 2 // standby relays watch the platform when the relays have lost it
	maxChildren       = 8 // maximum number of hosts with the same first source
	maxRemoteSources  = 4 // relays of other domains to fall back on
)

// TreeRole is the role of a host in the tree that distributes the
// configuration.
type TreeRole struct {
	Relay   bool              // whether the host always watches the platform
	Standby int               // 1 for the first standby relay of the domain, 2 for the second, otherwise 0
	Sources []topology.HostID // hosts to pull from, in order of preference
}

// TreeRoleOf returns the role of self among the hosts. Self counts as live
// even if the list does not contain it yet.
//
// Live hosts of a domain are ranked by rendezvous hashing. The first two are
// relays. The first source of a lower-ranked host is at rank (rank -
// relaysPerDomain) / maxChildren, so at most maxChildren hosts have the same
// first source.
func TreeRoleOf(self topology.Host, hosts []topology.Host) TreeRole {
	rankedByDomain := rankHostsByDomain(self, hosts)
	local := rankedByDomain[self.Domain]
	rank := slices.Index(local, self.ID)
	relay := rank >= 0 && rank < relaysPerDomain
	role := TreeRole{Relay: relay}
	if rank >= relaysPerDomain && rank < relaysPerDomain+standbysPerDomain {
		role.Standby = rank - relaysPerDomain + 1
	}
	addSources := func(ids ...topology.HostID) {
		for _, id := range ids {
			if id != self.ID && !slices.Contains(role.Sources, id) {
				role.Sources = append(role.Sources, id)
			}
		}
	}
	remote := remoteRelays(self, rankedByDomain)
	if relay {
		addSources(remote...)
		addSources(local[:min(relaysPerDomain, len(local))]...)
		return role
	}
	if rank >= 0 {
		parent := (rank - relaysPerDomain) / maxChildren
		addSources(local[parent], local[(parent+1)%min(rank, len(local))])
	}
	addSources(local[:min(relaysPerDomain+standbysPerDomain, len(local))]...)
	addSources(remote...)
	return role
}

// rankHostsByDomain ranks the live hosts of each domain. It includes self
// unless the list has self in another state than live.
func rankHostsByDomain(self topology.Host, hosts []topology.Host) map[topology.Domain][]topology.HostID {
	rankedByDomain := map[topology.Domain][]topology.HostID{}
	listed := false
	for _, host := range hosts {
		listed = listed || host.ID == self.ID
		if host.State == topology.HostLive {
			rankedByDomain[host.Domain] = append(rankedByDomain[host.Domain], host.ID)
		}
	}
	if !listed {
		rankedByDomain[self.Domain] = append(rankedByDomain[self.Domain], self.ID)
	}
	for domain, ids := range rankedByDomain {
		sortByRendezvousWeight(ids, string(domain))
	}
	return rankedByDomain
}

// remoteRelays returns up to maxRemoteSources relays of other domains. The
// order depends on the host, so that hosts spread over the relays.
func remoteRelays(self topology.Host, rankedByDomain map[topology.Domain][]topology.HostID) []topology.HostID {
	var relays []topology.HostID
	for domain, ids := range rankedByDomain {
		if domain != self.Domain {
			relays = append(relays, ids[:min(relaysPerDomain, len(ids))]...)
		}
	}
	sortByRendezvousWeight(relays, string(self.ID))
	return relays[:min(maxRemoteSources, len(relays))]
}

// sortByRendezvousWeight sorts hosts by decreasing rendezvous hash weight for
// a key.
func sortByRendezvousWeight(ids []topology.HostID, key string) {
	weights := make(map[topology.HostID]uint64, len(ids))
	for _, id := range ids {
		weights[id] = xxhash.Sum64String(key + "\x00" + string(id))
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := weights[ids[i]], weights[ids[j]]
		return a > b || a == b && ids[i] < ids[j]
	})
}
