package failover

import (
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// QuorumRead is the result of one quorum read: what a majority of a group's targets
// answered at one term to requests that were all sent after the read began.
type QuorumRead struct {
	Term     uint64
	Primary  topology.TargetID // empty if no target names a primary
	Statuses []target.Status   // of the targets at Term
}

// newQuorumRead returns the quorum read that the statuses form, if a majority is at one term.
func newQuorumRead(statuses []target.Status, majority int) (QuorumRead, bool) {
	term, ok := majorityTerm(statuses, majority)
	if !ok {
		return QuorumRead{}, false
	}
	r := QuorumRead{Term: term}
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

// includesPrimary reports whether the round has the primary's own status.
func (r QuorumRead) includesPrimary() bool {
	for _, s := range r.Statuses {
		if s.Target == r.Primary && s.Role == target.Primary {
			return true
		}
	}
	return false
}
