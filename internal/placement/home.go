package placement

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// PickHome returns the host to ask for a customer whose connections are held by some
// hosts: a home host with a free connection, as Pick chooses it, else the next host in
// order with one, else, unless need.FreeOnly is set, a home host without one, else any
// host. order lists the holders as they serve the customer, of which the first homes
// are its home hosts.
func PickHome(offers []Offer, need Requirements, order []topology.HostID, homes int, intn func(int) int) (best Offer, ok bool) {
	free := need
	free.FreeOnly = true
	var atHome []Offer
	for _, o := range offers {
		if slices.Contains(order[:homes], o.Host) {
			atHome = append(atHome, o)
		}
	}
	if best, ok = Pick(atHome, free, intn); ok {
		return best, true
	}
	for _, host := range order[homes:] {
		i := slices.IndexFunc(offers, func(o Offer) bool { return o.Host == host })
		if i < 0 {
			continue
		}
		if best, ok = Pick(offers[i:i+1], free, intn); ok {
			return best, true
		}
	}
	if best, ok = Pick(atHome, need, intn); ok {
		return best, true
	}
	return Pick(offers, need, intn)
}
