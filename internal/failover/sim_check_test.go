package failover

import (
	"fmt"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// executeOrder lets a target execute an order and checks the safety properties
// if that promotes the target.
func (s *simulation) executeOrder(t *simTarget, o Order, sentAt time.Time) Event {
	roleBefore := t.role
	result := t.order(o)
	if o.Kind == OrderPromote && result == OrderSucceeded && roleBefore != target.Primary {
		s.lastPrimaryTerms[t.id] = t.term
		s.checkPromotion(promotion{term: t.term, target: t.id, log: append([]uint64(nil), t.log...)})
	}
	return OrderFinished{Order: o, Result: result, Status: t.status(), SentAt: sentAt}
}

func (p promotion) hasEntry(pos topology.Position) bool {
	return pos.Offset <= uint64(len(p.log)) && p.log[pos.Offset-1] == pos.Term
}

func (s *simulation) checkPromotion(p promotion) {
	for _, other := range s.promotions {
		if other.term == p.term && other.target != p.target {
			s.violation = fmt.Errorf("term %d has two primaries, %s and %s", p.term, other.target, p.target)
		}
	}
	s.promotions = append(s.promotions, p)
	for _, pos := range s.confirmed {
		s.checkEntryKept(pos, p)
	}
}

// checkEntryKept records a violation if a confirmed position is missing in the
// log of a later primary.
func (s *simulation) checkEntryKept(pos topology.Position, p promotion) {
	if p.term > pos.Term && !p.hasEntry(pos) {
		s.violation = fmt.Errorf("confirmed position %v is missing in the log of %s, which was promoted at term %d", pos, p.target, p.term)
	}
}

// confirm requests the statuses of all targets several times, subject to message
// loss and delay, and records the position once it is confirmed.
func (s *simulation) confirm(h *simHost, pos topology.Position) {
	commit := &commitWaiter{pos: pos, policy: customer.AckMajority, latest: map[topology.TargetID]target.Status{}}
	size := groupSize{targets: len(s.group.Targets), majority: s.group.Majority()}
	done := false
	addStatus := func(st target.Status) {
		if done || !commit.addAnswer(statusAnswer{target: st.Target, status: st}, size) {
			return
		}
		done = true
		if commit.failure == nil {
			s.recordConfirmed(pos)
		}
	}
	for i := range 5 {
		s.after(time.Duration(i)*simWriteInterval, func() {
			for _, t := range s.orderedTargets() {
				s.send(string(h.id), string(t.id), func() {
					if t.down {
						return
					}
					st := t.status()
					s.send(string(t.id), string(h.id), func() { addStatus(st) })
				})
			}
		})
	}
}

// recordConfirmed records a confirmed position and checks it against the
// promotions so far.
func (s *simulation) recordConfirmed(pos topology.Position) {
	s.confirmed = append(s.confirmed, pos)
	for _, p := range s.promotions {
		s.checkEntryKept(pos, p)
	}
}

// servingPrimary returns the primary of the highest term if a majority follows it.
func (s *simulation) servingPrimary() *simTarget {
	var primary *simTarget
	for _, t := range s.orderedTargets() {
		if !t.down && t.role == target.Primary && (primary == nil || t.term > primary.term) {
			primary = t
		}
	}
	if primary == nil {
		return nil
	}
	followers := 0
	for _, t := range s.orderedTargets() {
		if !t.down && t.term == primary.term && t.primary == primary.id {
			followers++
		}
	}
	if followers < s.group.Majority() {
		return nil
	}
	return primary
}

// healFaults ends all faults and restarts the targets that are down.
func (s *simulation) healFaults() {
	s.lossRate, s.replicationSkipRate, s.maxDelay = 0, 0, 2*time.Millisecond
	clear(s.cutLinks)
	for _, t := range s.orderedTargets() {
		if t.down {
			t.restart()
		}
	}
}
