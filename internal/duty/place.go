package duty

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/failover"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// handOverAfter is how long a host holds a duty at least before it hands it
	// over: five times TakeoverAfter and more, so that the hosts agree who holds it.
	handOverAfter = 8 * time.Second
	// restAfterOrder is how long after its last order a holder keeps the duty:
	// twice as long as the order may still be carried out if its answer was lost.
	// The pauses that the order rests on are its holder's until then.
	restAfterOrder = 30 * time.Second
)

// rank returns self's place among the live hosts for a group's duty, 0 first.
// Hosts in the failure domain of the group's primary come last: what takes the
// primary away would take them, too. domain is empty if it isn't known.
func rank(group topology.GroupID, self topology.HostID, live []topology.Host, domain topology.Domain) int {
	apart, beside := split(live, domain)
	for _, id := range beside {
		if id == self {
			return len(apart) + failover.Rank(group, self, beside)
		}
	}
	return failover.Rank(group, self, apart)
}

// split tells the hosts outside a failure domain from those within.
func split(live []topology.Host, domain topology.Domain) (apart, beside []topology.HostID) {
	for _, h := range live {
		if domain != "" && h.Domain == domain {
			beside = append(beside, h.ID)
		} else {
			apart = append(apart, h.ID)
		}
	}
	return apart, beside
}

// tenure is what a holder knows when it decides whether to keep a duty.
type tenure struct {
	beside    bool // it is in the failure domain of the group's primary
	apart     int  // live hosts in other ones
	connected bool // with hosts of most failure domains
	heldFor   time.Duration
	ordered   bool          // it has given an order
	orderAgo  time.Duration // since the last one, if ordered
}

// handsOver tells whether the holder should give the duty up, so that a host
// outside the primary's failure domain takes it.
func handsOver(t tenure) bool {
	switch {
	case !t.beside, t.apart == 0, !t.connected:
		return false
	case t.ordered && t.orderAgo < restAfterOrder:
		return false
	}
	return t.heldFor >= handOverAfter
}
