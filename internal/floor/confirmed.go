package floor

import (
	"slices"

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
// before the round began, or false if the round doesn't hold a majority of the
// group's targets.
//
// An acknowledged write is at a majority of the targets, and at the primary.
// Targets that didn't answer are taken to have it.
func Confirmed(targets int, r Round) (topology.Position, bool) {
	majority := targets/2 + 1
	if len(r.Statuses) < majority {
		return topology.Position{}, false
	}
	received := make([]topology.Position, 0, len(r.Statuses))
	for _, s := range r.Statuses {
		received = append(received, s.Received)
	}
	slices.SortFunc(received, func(a, b topology.Position) int { return b.Compare(a) })
	silent := max(targets-len(r.Statuses), 0)
	confirmed := received[majority-silent-1]
	if p, ok := r.status(r.Primary); ok && p.Role == target.Primary && confirmed.AtLeast(p.Received) {
		confirmed = p.Received
	}
	return confirmed, true
}
