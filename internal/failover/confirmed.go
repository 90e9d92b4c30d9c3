package failover

import (
	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Confirmed reports whether the commit at pos can be acknowledged. Statuses holds
// at most one answer of each target; majority is the number of targets needed.
//
// With AckMajority, a target counts if it is at term and has received the commit;
// the statuses may have been requested at any time. With AckTerm, a target counts
// if it knows no higher term; the statuses must have been requested after the
// commit.
func Confirmed(statuses []target.Status, term uint64, pos topology.Position, majority int, policy customer.AckMode) bool {
	count := 0
	for _, s := range statuses {
		if acknowledges(s, term, pos, policy) {
			count++
		}
	}
	return count >= majority
}

// acknowledges reports whether one target counts towards the commit at pos.
func acknowledges(s target.Status, term uint64, pos topology.Position, policy customer.AckMode) bool {
	if s.Term != term || pos.Term != term {
		return false
	}
	if policy == customer.AckTerm {
		return true
	}
	return s.Received.AtLeast(pos)
}

// termSuperseded reports whether so many targets know a higher term that no
// majority can be at the given term any more.
func termSuperseded(statuses []target.Status, term uint64, targets, majority int) bool {
	higher := 0
	for _, s := range statuses {
		if s.Term > term {
			higher++
		}
	}
	return targets-higher < majority
}

// majorityTerm returns the term that a majority of the statuses is at.
func majorityTerm(statuses []target.Status, majority int) (uint64, bool) {
	counts := map[uint64]int{}
	for _, s := range statuses {
		counts[s.Term]++
		if counts[s.Term] >= majority {
			return s.Term, true
		}
	}
	return 0, false
}
