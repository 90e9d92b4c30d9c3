package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// answer is one target's answer to a status request.
type answer struct {
	target  topology.TargetID
	status  target.Status
	err     error
	covers  uint64    // waiters up to this number came before the request was sent
	arrived time.Time // of the answer
}

// quorum is the size of a group.
type quorum struct{ targets, majority int }

// waiter waits for answers of a group's targets.
type waiter interface {
	// take adds an answer and tells whether the waiter is through.
	take(a answer, q quorum) bool
	// wants tells whether another answer of the target may help.
	wants(id topology.TargetID) bool
}

// commitWaiter waits until a commit is confirmed.
type commitWaiter struct {
	number  uint64
	pos     topology.Position
	policy  customer.Acknowledge
	latest  map[topology.TargetID]target.Status // an acknowledging answer stays
	failure error
}

func (w *commitWaiter) take(a answer, q quorum) bool {
	if a.err != nil || w.policy == customer.AckTerm && a.covers < w.number {
		return false
	}
	if !w.wants(a.target) {
		return false
	}
	w.latest[a.target] = a.status
	statuses := values(w.latest)
	if Confirmed(statuses, w.pos.Term, w.pos, q.majority, w.policy) {
		return true
	}
	if termOver(statuses, w.pos.Term, q.targets, q.majority) {
		w.failure = result.New(result.UnconfirmedCommit, "term %d ended before a majority had %s", w.pos.Term, w.pos)
		return true
	}
	return false
}

func (w *commitWaiter) wants(id topology.TargetID) bool {
	s, ok := w.latest[id]
	return !ok || !acknowledges(s, w.pos.Term, w.pos, w.policy)
}

// roundWaiter waits for answers of a majority at one term. Once it has them it
// waits a little for the primary's.
type roundWaiter struct {
	number   uint64
	answers  map[topology.TargetID]target.Status
	failed   map[topology.TargetID]bool
	round    Round
	agreedAt time.Time // zero: no majority yet
	failure  error
}

func (w *roundWaiter) take(a answer, q quorum) bool {
	if a.covers < w.number {
		return false
	}
	if a.err != nil {
		w.failed[a.target] = true
		return w.giveUp(q)
	}
	delete(w.failed, a.target)
	w.answers[a.target] = a.status
	round, ok := newRound(values(w.answers), q.majority)
	if !ok {
		return false
	}
	w.round = round
	if w.agreedAt.IsZero() {
		w.agreedAt = a.arrived
	}
	return round.complete() || len(w.answers)+len(w.failed) == q.targets
}

// giveUp tells whether too many targets failed.
func (w *roundWaiter) giveUp(q quorum) bool {
	if !w.agreedAt.IsZero() {
		return len(w.answers)+len(w.failed) == q.targets
	}
	if q.targets-len(w.failed) >= q.majority {
		return false
	}
	w.failure = errNoMajority("%d of %d targets don't answer", len(w.failed), q.targets)
	return true
}

func (w *roundWaiter) wants(id topology.TargetID) bool {
	s, answered := w.answers[id]
	if !answered {
		return true
	}
	return w.agreedAt.IsZero() || s.Term != w.round.Term
}

func values(m map[topology.TargetID]target.Status) []target.Status {
	all := make([]target.Status, 0, len(m))
	for _, s := range m {
		all = append(all, s)
	}
	return all
}
