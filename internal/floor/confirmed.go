package floor

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// QuorumRead holds the answers of a majority of a group's targets to one query. All of
// them are at Term.
type QuorumRead struct {
	Term     uint64
	Primary  topology.TargetID
	Statuses []target.Status
}

// status returns the answer of a target, or false if it did not answer.
func (r QuorumRead) status(id topology.TargetID) (target.Status, bool) {
	for _, s := range r.Statuses {
		if s.Target == id {
			return s, true
		}
	}
	return target.Status{}, false
}

// Confirmed returns a position at or past every write that was acknowledged
// before the round began, or false if the answers are not sufficient.
//
// With AckMajority an acknowledged write has been received by a majority of the
// targets and by the primary. Targets that did not answer are assumed to have
// received it. With AckTerm possibly nobody but the primary has received it.
func Confirmed(targets int, r QuorumRead, policy customer.AckMode) (topology.Position, bool) {
	majority := targets/2 + 1
	if len(r.Statuses) < majority {
		return topology.Position{}, false
	}
	primary, primaryAnswered := r.status(r.Primary)
	primaryAnswered = primaryAnswered && primary.Role == target.Primary
	if policy == customer.AckTerm {
		return primary.Received, primaryAnswered
	}
	confirmed := highestReceivedBy(r.Statuses, majority-max(targets-len(r.Statuses), 0))
	if primaryAnswered && confirmed.AtLeast(primary.Received) {
		confirmed = primary.Received
	}
	return confirmed, true
}

// highestReceivedBy returns the highest position that at least n of the targets
// have received.
func highestReceivedBy(statuses []target.Status, n int) topology.Position {
	received := make([]topology.Position, 0, len(statuses))
	for _, s := range statuses {
		received = append(received, s.Received)
	}
	slices.SortFunc(received, func(a, b topology.Position) int { return b.Compare(a) })
	return received[n-1]
}
