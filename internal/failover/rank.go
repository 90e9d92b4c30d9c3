package failover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Rank returns self's place among the hosts, 0 first, by rendezvous of group
// and host. Hosts that rank differently only become rivals, which is safe.
func Rank(group topology.GroupID, self topology.HostID, hosts []topology.HostID) int {
	ordered := slices.Clone(hosts)
	if !slices.Contains(ordered, self) {
		ordered = append(ordered, self)
	}
	slices.SortFunc(ordered, func(a, b topology.HostID) int {
		if c := cmp.Compare(weight(group, b), weight(group, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return slices.Index(ordered, self)
}

func weight(group topology.GroupID, host topology.HostID) uint64 {
	return xxhash.Sum64String(string(group) + "\x00" + string(host))
}
