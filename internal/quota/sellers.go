package quota

import (
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// role tells with which votes a host sells a customer's tokens.
type role uint8

const (
	coordinator role = iota // with those of all hosts in contact
	deputy                  // with those of its failure domain, while the coordinator is out of reach
	alone                   // with its own, while no seller is in reach
	roles
)

// deputies is how many hosts of each domain may stand in for the coordinator, the second
// one while the first is out of reach.
const deputies = 2

// sellers are the hosts that may sell a customer's tokens, as one host sees it.
type sellers struct {
	coordinator topology.HostID
	deputies    []topology.HostID // in the host's own domain, in the order in which they are asked
}

// outranks reports whether a comes before b as a customer's coordinator.
func outranks(customer topology.CustomerID, a, b topology.HostID) bool {
	index := fleet.NewIndex([]topology.Host{{ID: a, State: topology.HostLive}, {ID: b, State: topology.HostLive}})
	return chooseSellers(index, customer, "").coordinator == a
}

// chooseSellers selects a customer's sellers by rendezvous hashing.
func chooseSellers(index *fleet.Index, customer topology.CustomerID, domain topology.Domain) sellers {
	id := topology.TargetID(customer)
	var s sellers
	if ids := index.Holders(topology.Target{ID: id, Slots: 1}); len(ids) > 0 {
		s.coordinator = ids[0]
	}
	for _, d := range index.Holders(topology.Target{ID: id, Domain: domain, Slots: deputies + 1}) {
		if d != s.coordinator && len(s.deputies) < deputies {
			s.deputies = append(s.deputies, d)
		}
	}
	return s
}
