package failover

import (
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Round is what a majority of a group's targets answered at one term, all
// asked after the question.
type Round struct {
	Term     uint64
	Primary  topology.TargetID // empty if no target names one
	Statuses []target.Status   // those at Term
}

// newRound returns the round that the statuses give, if a majority agrees.
func newRound(statuses []target.Status, majority int) (Round, bool) {
	term, ok := agreedTerm(statuses, majority)
	if !ok {
		return Round{}, false
	}
	r := Round{Term: term}
	for _, s := range statuses {
		if s.Term != term {
			continue
		}
		r.Statuses = append(r.Statuses, s)
		if s.Primary != "" {
			r.Primary = s.Primary
		}
	}
	return r, true
}

// complete tells whether the primary's own answer is in the round.
func (r Round) complete() bool {
	for _, s := range r.Statuses {
		if s.Target == r.Primary && s.Role == target.Primary {
			return true
		}
	}
	return false
}
