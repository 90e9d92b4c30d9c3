package floor

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Round is what a majority of a group's targets answered after a question
// came, all of them at Term.
type Round struct {
	Term     uint64
	Primary  topology.TargetID
	Statuses []target.Status
}

// status returns the answer of a target.
func (r Round) status(id topology.TargetID) (target.Status, bool) {
	for _, s := range r.Statuses {
		if s.Target == id {
			return s, true
		}
	}
	return target.Status{}, false
}

// Confirmed returns a position at or past every write that was acknowledged
// before the round began, or false if the round doesn't tell one.
//
// With AckMajority an acknowledged write is at a majority of the targets, and at
// the primary. Targets that didn't answer are taken to have it. With AckTerm it
// may be at the primary alone.
func Confirmed(targets int, r Round, policy customer.Acknowledge) (topology.Position, bool) {
	majority := targets/2 + 1
	if len(r.Statuses) < majority {
		return topology.Position{}, false
	}
	p, answered := r.status(r.Primary)
	answered = answered && p.Role == target.Primary
	if policy == customer.AckTerm {
		return p.Received, answered
	}
	confirmed := atMajority(r.Statuses, majority-max(targets-len(r.Statuses), 0))
	if answered && confirmed.AtLeast(p.Received) {
		confirmed = p.Received
	}
	return confirmed, true
}

// atMajority returns the highest position that n of the targets received.
func atMajority(statuses []target.Status, n int) topology.Position {
	received := make([]topology.Position, 0, len(statuses))
	for _, s := range statuses {
		received = append(received, s.Received)
	}
	slices.SortFunc(received, func(a, b topology.Position) int { return b.Compare(a) })
	return received[n-1]
}
