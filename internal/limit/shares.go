package limit

import (
	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// unreportedFraction is the fraction of its equal share below which a host does not
// report its demand.
const unreportedFraction = 1.0 / 8

// Shares divides a customer's limit among the hosts that reported their demand, in
// proportion to it. It leaves out what the other hosts may use without a report, so
// that the use of all hosts together stays within the limit.
func Shares(hosts int, demands map[topology.HostID]float64) map[topology.HostID]float64 {
	hosts = max(hosts, len(demands), 1)
	sum := 0.0
	for _, demand := range demands {
		sum += max(demand, 0)
	}
	silentFraction := float64(hosts-len(demands)) / float64(hosts)
	remaining := 1 - silentFraction*unreportedFraction
	shares := make(map[topology.HostID]float64, len(demands))
	for id, demand := range demands {
		share := remaining / float64(len(demands))
		if sum > 0 {
			share = remaining * max(demand, 0) / sum
		}
		shares[id] = share
	}
	return shares
}

// equalShare returns the share of a host that received none from a coordinator.
func equalShare(hosts int) float64 { return 1 / float64(max(hosts, 1)) }

// coordinator returns the host that divides a customer's limit, selected from the
// live hosts by rendezvous hashing. It returns "" if hosts is empty.
func coordinator(id topology.CustomerID, hosts []topology.Host) topology.HostID {
	var best topology.HostID
	var bestWeight uint64
	for _, host := range hosts {
		weight := xxhash.Sum64String(string(id) + "\x00" + string(host.ID))
		if best == "" || weight > bestWeight || weight == bestWeight && host.ID < best {
			best, bestWeight = host.ID, weight
		}
	}
	return best
}
