package failover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Rank returns self's position among the hosts, starting at 0, by rendezvous
// hashing of group and host. Hosts that know different sets of hosts may get the
// same rank and act at the same time, which is safe.
func Rank(group topology.GroupID, self topology.HostID, hosts []topology.HostID) int {
	ordered := slices.Clone(hosts)
	if !slices.Contains(ordered, self) {
		ordered = append(ordered, self)
	}
	slices.SortFunc(ordered, func(a, b topology.HostID) int {
		if c := cmp.Compare(rendezvousWeight(group, b), rendezvousWeight(group, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return slices.Index(ordered, self)
}

func rendezvousWeight(group topology.GroupID, host topology.HostID) uint64 {
	return xxhash.Sum64String(string(group) + "\x00" + string(host))
}
