package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// statusAnswer is the result of one status request to a target.
type statusAnswer struct {
	target     topology.TargetID
	status     target.Status
	err        error
	coveredSeq uint64    // the request was sent after the waiters up to this sequence number were added
	arrived    time.Time // arrival time of the answer
}

// groupSize is the number of targets in a group and the size of its majority.
type groupSize struct{ targets, majority int }

// waiter waits for status answers from the targets of a group.
type waiter interface {
	// addAnswer adds an answer and reports whether the waiter has finished.
	addAnswer(a statusAnswer, size groupSize) bool
	// needsAnswer reports whether another answer of the target can help the waiter.
	needsAnswer(id topology.TargetID) bool
}

// commitWaiter waits until a commit is confirmed or its term has ended.
type commitWaiter struct {
	seq     uint64
	pos     topology.Position
	policy  customer.AckMode
	latest  map[topology.TargetID]target.Status // an answer that acknowledges the commit is not replaced
	failure error
}

func (w *commitWaiter) addAnswer(a statusAnswer, size groupSize) bool {
	if a.err != nil || w.policy == customer.AckTerm && a.coveredSeq < w.seq {
		return false
	}
	if !w.needsAnswer(a.target) {
		return false
	}
	w.latest[a.target] = a.status
	statuses := statusList(w.latest)
	if Confirmed(statuses, w.pos.Term, w.pos, size.majority, w.policy) {
		return true
	}
	if termSuperseded(statuses, w.pos.Term, size.targets, size.majority) {
		w.failure = result.New(result.UnconfirmedCommit, "term %d ended before a majority received position %s", w.pos.Term, w.pos)
		return true
	}
	return false
}

func (w *commitWaiter) needsAnswer(id topology.TargetID) bool {
	s, ok := w.latest[id]
	return !ok || !acknowledges(s, w.pos.Term, w.pos, w.policy)
}

// roundWaiter waits until a majority has answered at one term. It then also waits
// for the primary's answer; the poller limits that wait to primaryGrace.
type roundWaiter struct {
	seq        uint64
	answers    map[topology.TargetID]target.Status
	failed     map[topology.TargetID]bool
	round      QuorumRead
	majorityAt time.Time // zero until a majority has answered at one term
	failure    error
}

func (w *roundWaiter) addAnswer(a statusAnswer, size groupSize) bool {
	if a.coveredSeq < w.seq {
		return false
	}
	if a.err != nil {
		w.failed[a.target] = true
		return w.doneAfterFailure(size)
	}
	delete(w.failed, a.target)
	w.answers[a.target] = a.status
	round, ok := newQuorumRead(statusList(w.answers), size.majority)
	if !ok {
		return false
	}
	w.round = round
	if w.majorityAt.IsZero() {
		w.majorityAt = a.arrived
	}
	return round.includesPrimary() || len(w.answers)+len(w.failed) == size.targets
}

// doneAfterFailure reports whether the waiter has finished after a request
// failed, because every target has answered or failed, or because too few targets
// are left for a majority.
func (w *roundWaiter) doneAfterFailure(size groupSize) bool {
	if !w.majorityAt.IsZero() {
		return len(w.answers)+len(w.failed) == size.targets
	}
	if size.targets-len(w.failed) >= size.majority {
		return false
	}
	w.failure = errNoMajority("%d of %d targets do not answer", len(w.failed), size.targets)
	return true
}

func (w *roundWaiter) needsAnswer(id topology.TargetID) bool {
	s, answered := w.answers[id]
	if !answered {
		return true
	}
	return w.majorityAt.IsZero() || s.Term != w.round.Term
}

func statusList(m map[topology.TargetID]target.Status) []target.Status {
	all := make([]target.Status, 0, len(m))
	for _, s := range m {
		all = append(all, s)
	}
	return all
}
