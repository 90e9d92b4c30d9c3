package failover

import (
	"fmt"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// carryOut gives an order to a target and checks what must hold at a promotion.
func (s *simulation) carryOut(t *simTarget, o Order, sentAt time.Time) Event {
	was := t.role
	result := t.order(o)
	if o.Kind == OrderPromote && result == OrderDone && was != target.Primary {
		s.led[t.id] = t.term
		s.checkPromotion(promotion{term: t.term, target: t.id, log: append([]uint64(nil), t.log...)})
	}
	return OrderDoneEvent{Order: o, Result: result, Status: t.status(), SentAt: sentAt}
}

func (p promotion) has(pos topology.Position) bool {
	return pos.Offset <= uint64(len(p.log)) && p.log[pos.Offset-1] == pos.Term
}

func (s *simulation) checkPromotion(p promotion) {
	for _, other := range s.promotions {
		if other.term == p.term && other.target != p.target {
			s.broken = fmt.Errorf("term %d has the primaries %s and %s", p.term, other.target, p.target)
		}
	}
	s.promotions = append(s.promotions, p)
	for _, pos := range s.confirmed {
		s.checkKept(pos, p)
	}
}

// checkKept tells whether a confirmed position is in a later primary's log.
func (s *simulation) checkKept(pos topology.Position, p promotion) {
	if p.term > pos.Term && !p.has(pos) {
		s.broken = fmt.Errorf("confirmed %v is not in the log of %s, promoted at term %d", pos, p.target, p.term)
	}
}

// confirm asks all targets a few times, with their answers lost and late as
// any message, and records the position once it is confirmed.
func (s *simulation) confirm(h *simHost, pos topology.Position) {
	w := &commitWaiter{pos: pos, policy: customer.AckMajority, latest: map[topology.TargetID]target.Status{}}
	q := quorum{targets: len(s.group.Targets), majority: s.group.Majority()}
	done := false
	take := func(st target.Status) {
		if done || !w.take(answer{target: st.Target, status: st}, q) {
			return
		}
		done = true
		if w.failure == nil {
			s.record(pos)
		}
	}
	for i := range 5 {
		s.after(time.Duration(i)*simWrite, func() {
			for _, t := range s.all() {
				s.send(string(h.id), string(t.id), func() {
					if t.down {
						return
					}
					st := t.status()
					s.send(string(t.id), string(h.id), func() { take(st) })
				})
			}
		})
	}
}

// record checks a confirmed position against the promotions so far.
func (s *simulation) record(pos topology.Position) {
	s.confirmed = append(s.confirmed, pos)
	for _, p := range s.promotions {
		s.checkKept(pos, p)
	}
}

// serving returns the primary of the highest term if a majority follows it.
func (s *simulation) serving() *simTarget {
	var lead *simTarget
	for _, t := range s.all() {
		if !t.down && t.role == target.Primary && (lead == nil || t.term > lead.term) {
			lead = t
		}
	}
	if lead == nil {
		return nil
	}
	n := 0
	for _, t := range s.all() {
		if !t.down && t.term == lead.term && t.primary == lead.id {
			n++
		}
	}
	if n < s.group.Majority() {
		return nil
	}
	return lead
}

// calm ends all faults.
func (s *simulation) calm() {
	s.loss, s.late, s.delay = 0, 0, 2*time.Millisecond
	clear(s.cut)
	for _, t := range s.all() {
		if t.down {
			t.restart()
		}
	}
}
