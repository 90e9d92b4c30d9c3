package failover

import (
	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Rank returns self's position among the hosts, starting at 0, by rendezvous
// hashing of group and host. Hosts that know different sets of hosts may get the
// same rank and act at the same time, which is safe.
func Rank(group topology.GroupID, self topology.HostID, hosts []topology.HostID) int {
	own, rank := rendezvousWeight(group, self), 0
	for _, host := range hosts {
		if host == self {
			continue
		}
		if w := rendezvousWeight(group, host); w > own || w == own && host < self {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(group topology.GroupID, host topology.HostID) uint64 {
	return xxhash.Sum64String(string(group) + "\x00" + string(host))
}
