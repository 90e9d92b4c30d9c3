package failover

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// simTarget is a target as package target demands it, with a log of terms.
type simTarget struct {
	id      topology.TargetID
	down    bool // killed: its log and term last
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

func (t *simTarget) has(pos topology.Position) bool {
	return pos.Offset <= uint64(len(t.log)) && t.log[pos.Offset-1] == pos.Term
}

// order carries out an order and tells whether it is refused as stale or failed.
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
	return OrderDone
}

// pull copies the log of the primary that the replica follows, but for its
// latest entries. A fenced former primary still gives the entries of its term.
func (t *simTarget) pull(from *simTarget, ledTerm uint64, hidden int) {
	if t.role != target.Replica || t.primary != from.id || ledTerm != t.term || from.role == target.Replica {
		return
	}
	if n := len(from.log) - hidden; hidden == 0 || n > len(t.log) {
		t.log = slices.Clone(from.log[:max(n, 0)])
	}
}

// restart comes back as a process does: never as a primary.
func (t *simTarget) restart() {
	t.down = false
	if t.role == target.Primary {
		t.role, t.primary = target.Fenced, ""
	}
}
