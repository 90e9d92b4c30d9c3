package failover

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// simTarget simulates a target that behaves as package target requires. Its log
// holds only the term of each entry.
type simTarget struct {
	id      topology.TargetID
	down    bool // killed; log and term are kept
	role    target.Role
	term    uint64
	primary topology.TargetID
	log     []uint64 // term of each entry
}

func (t *simTarget) received() topology.Position {
	if len(t.log) == 0 {
		return topology.Position{}
	}
	return topology.Position{Term: t.log[len(t.log)-1], Offset: uint64(len(t.log))}
}

func (t *simTarget) status() target.Status {
	return target.Status{Target: t.id, Role: t.role, Term: t.term, Primary: t.primary, Received: t.received(), Applied: t.received()}
}

func (t *simTarget) hasEntry(pos topology.Position) bool {
	return pos.Offset <= uint64(len(t.log)) && t.log[pos.Offset-1] == pos.Term
}

// order executes an order and returns its result.
func (t *simTarget) order(o Order) OrderResult {
	switch {
	case o.Term < t.term || o.Kind == OrderFence && o.Term == t.term:
		return OrderStale
	case o.Kind == OrderFence:
		t.role, t.term, t.primary = target.Fenced, o.Term, ""
	case o.Kind == OrderFollow:
		if t.role == target.Primary && t.term == o.Term {
			return OrderUnknown
		}
		t.role, t.term, t.primary = target.Replica, o.Term, o.Primary
	case t.role == target.Primary && t.term == o.Term:
	case t.role != target.Fenced || t.term != o.Term:
		return OrderUnknown
	default:
		t.role, t.primary = target.Primary, t.id
		t.log = append(t.log, t.term)
	}
	return OrderSucceeded
}

// replicateFrom copies the log of the primary that the replica follows, except
// for the last lag entries. A fenced former primary still serves the entries of
// its term.
func (t *simTarget) replicateFrom(source *simTarget, sourceTerm uint64, lag int) {
	if t.role != target.Replica || t.primary != source.id || sourceTerm != t.term || source.role == target.Replica {
		return
	}
	if visible := len(source.log) - lag; lag == 0 || visible > len(t.log) {
		t.log = slices.Clone(source.log[:max(visible, 0)])
	}
}

// restart simulates a process restart, after which a target is never primary.
func (t *simTarget) restart() {
	t.down = false
	if t.role == target.Primary {
		t.role, t.primary = target.Fenced, ""
	}
}
