package limit

import (
	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// silentPart is the part of its equal share below which a host keeps its
// demand to itself.
const silentPart = 1.0 / 8

// Shares divides a customer's limit among the hosts that told their demand, in
// proportion to it. What the silent hosts may use unnoticed is left to them, so
// that all use together is at most the limit.
func Shares(hosts int, demands map[topology.HostID]float64) map[topology.HostID]float64 {
	hosts = max(hosts, len(demands), 1)
	sum := 0.0
	for _, demand := range demands {
		sum += max(demand, 0)
	}
	silent := float64(hosts-len(demands)) / float64(hosts)
	left := 1 - silent*silentPart
	shares := make(map[topology.HostID]float64, len(demands))
	for id, demand := range demands {
		share := left / float64(len(demands))
		if sum > 0 {
			share = left * max(demand, 0) / sum
		}
		shares[id] = share
	}
	return shares
}

// equalShare is what a host has without a coordinator.
func equalShare(hosts int) float64 { return 1 / float64(max(hosts, 1)) }

// coordinator returns the one of the live hosts that divides a customer's limit, empty if
// there is none.
func coordinator(id topology.CustomerID, hosts []topology.Host) topology.HostID {
	var best topology.HostID
	var most uint64
	for _, host := range hosts {
		weight := xxhash.Sum64String(string(id) + "\x00" + string(host.ID))
		if best == "" || weight > most || weight == most && host.ID < best {
			best, most = host.ID, weight
		}
	}
	return best
}
