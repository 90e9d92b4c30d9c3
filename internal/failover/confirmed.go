package failover

import (
	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Confirmed tells whether the commit at pos can be acknowledged. Statuses holds
// at most one answer of each target; majority is the number of targets needed.
//
// With AckMajority a target counts that has the commit at term; the statuses
// may be of any time. With AckTerm a target counts that knows no higher term;
// the statuses must have been asked for after the commit.
func Confirmed(statuses []target.Status, term uint64, pos topology.Position, majority int, policy customer.Acknowledge) bool {
	count := 0
	for _, s := range statuses {
		if acknowledges(s, term, pos, policy) {
			count++
		}
	}
	return count >= majority
}

// acknowledges tells whether one target counts for the commit at pos.
func acknowledges(s target.Status, term uint64, pos topology.Position, policy customer.Acknowledge) bool {
	if s.Term != term || pos.Term != term {
		return false
	}
	if policy == customer.AckTerm {
		return true
	}
	return s.Received.AtLeast(pos)
}

// termOver tells whether so many targets know a higher term that no majority
// is left for this one.
func termOver(statuses []target.Status, term uint64, targets, majority int) bool {
	higher := 0
	for _, s := range statuses {
		if s.Term > term {
			higher++
		}
	}
	return targets-higher < majority
}

// agreedTerm returns the term at which a majority of the statuses is.
func agreedTerm(statuses []target.Status, majority int) (uint64, bool) {
	counts := map[uint64]int{}
	for _, s := range statuses {
		counts[s.Term]++
		if counts[s.Term] >= majority {
			return s.Term, true
		}
	}
	return 0, false
}
