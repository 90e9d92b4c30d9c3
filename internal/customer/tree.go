package customer

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	relaysPerDomain = 2 // watch the platform
	understudies    = 2 // per domain, watch it when the relays are out of touch
	fanOut          = 8 // hosts that pull from one host
	distantSources  = 4 // relays of other domains to fall back on
)

// Place is a host's part in spreading the configuration.
type Place struct {
	Relay      bool
	Understudy int               // 1 or 2 for the first or second understudy, otherwise 0
	Sources    []topology.HostID // to pull from, the best first
}

// PlaceOf returns a host's place among the hosts. It counts as live even while
// the list doesn't have it yet.
//
// Within a domain, live hosts are ranked by rendezvous weight: the first two
// are relays, and a host further down pulls from the one that is fanOut times
// nearer to the top, so that no host has more than fanOut below it.
func PlaceOf(self topology.Host, hosts []topology.Host) Place {
	domains := rankDomains(self, hosts)
	own := domains[self.Domain]
	rank := slices.Index(own, self.ID)
	relay := rank >= 0 && rank < relaysPerDomain
	p := Place{Relay: relay}
	if rank >= relaysPerDomain && rank < relaysPerDomain+understudies {
		p.Understudy = rank - relaysPerDomain + 1
	}
	add := func(ids ...topology.HostID) {
		for _, id := range ids {
			if id != self.ID && !slices.Contains(p.Sources, id) {
				p.Sources = append(p.Sources, id)
			}
		}
	}
	distant := distantRelays(self, domains)
	if relay {
		add(distant...)
		add(own[:min(relaysPerDomain, len(own))]...)
		return p
	}
	if rank >= 0 {
		parent := (rank - relaysPerDomain) / fanOut
		add(own[parent], own[(parent+1)%min(rank, len(own))])
	}
	add(own[:min(relaysPerDomain+understudies, len(own))]...)
	add(distant...)
	return p
}

// rankDomains ranks the live hosts of each domain, self among them unless it
// is listed as leaving.
func rankDomains(self topology.Host, hosts []topology.Host) map[topology.Domain][]topology.HostID {
	domains := map[topology.Domain][]topology.HostID{}
	listed := false
	for _, host := range hosts {
		listed = listed || host.ID == self.ID
		if host.State == topology.HostLive {
			domains[host.Domain] = append(domains[host.Domain], host.ID)
		}
	}
	if !listed {
		domains[self.Domain] = append(domains[self.Domain], self.ID)
	}
	for domain, ids := range domains {
		sortByWeight(ids, string(domain))
	}
	return domains
}

// distantRelays returns some relays of other domains, in an order of the
// host's own, so that hosts spread over them.
func distantRelays(self topology.Host, domains map[topology.Domain][]topology.HostID) []topology.HostID {
	var relays []topology.HostID
	for domain, ids := range domains {
		if domain != self.Domain {
			relays = append(relays, ids[:min(relaysPerDomain, len(ids))]...)
		}
	}
	sortByWeight(relays, string(self.ID))
	return relays[:min(distantSources, len(relays))]
}

// sortByWeight sorts hosts by falling rendezvous weight for a key.
func sortByWeight(ids []topology.HostID, key string) {
	weights := make(map[topology.HostID]uint64, len(ids))
	for _, id := range ids {
		weights[id] = xxhash.Sum64String(key + "\x00" + string(id))
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := weights[ids[i]], weights[ids[j]]
		return a > b || a == b && ids[i] < ids[j]
	})
}
