package failover

import (
	"fmt"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// attempt is one try to change the primary.
type attempt struct {
	number    uint64
	startedAt time.Time
	actAt     time.Time // end of waiting
	cutOff    bool      // this host reached no majority when it asked or when its turn had come
	term      uint64
	answers   map[topology.TargetID]target.Status // of the fences
	ordered   map[topology.TargetID]bool          // fences given
	refused   map[topology.TargetID]bool          // fences that came too late
	chosen    topology.TargetID
	last      topology.Position // of a leaving primary
	promoting bool              // a Promote is under way
	orderedAt time.Time         // of the latest Promote
}

// startAsking begins an attempt with the other hosts' opinions.
func (m *Machine) startAsking(now time.Time, reason Reason) {
	m.attempts++
	m.attempt = attempt{
		number:    m.attempts,
		startedAt: now,
		cutOff:    !m.reachesMajority(now),
		answers:   map[topology.TargetID]target.Status{},
		ordered:   map[topology.TargetID]bool{},
		refused:   map[topology.TargetID]bool{},
	}
	m.enter(now, PhaseAsking, reason, "")
	m.out = append(m.out, Ask{Attempt: m.attempts})
}

func (m *Machine) advanceAsking(now time.Time) {
	if now.Sub(m.since) >= m.times.OrderTimeout {
		m.backOff(now, "no opinions came")
	}
}

// takeOpinions ends the pre-vote. Nothing was changed so far.
func (m *Machine) takeOpinions(now time.Time, ev OpinionsGathered) {
	if m.phase != PhaseAsking || ev.Attempt != m.attempt.number {
		return
	}
	able := []topology.HostID{m.self}
	for _, o := range ev.Opinions {
		m.highest = max(m.highest, o.Term)
		if o.Term > m.lead.term && o.Primary != "" {
			m.learn(o.Term, o.Primary, false, now)
			m.backOff(now, fmt.Sprintf("%s knows a later primary", o.Host))
			return
		}
		if o.Healthy && m.reason != ReasonLeaving {
			m.backOff(now, fmt.Sprintf("the primary answers %s", o.Host))
			return
		}
		if o.Changes {
			m.backOff(now, fmt.Sprintf("%s is changing the primary", o.Host))
			return
		}
		if o.Reaches {
			able = append(able, o.Host)
		}
	}
	rank := Rank(m.group.ID, m.self, able)
	m.attempt.actAt = now.Add(time.Duration(rank) * m.times.Stagger)
	m.enter(now, PhaseWaiting, m.reason, fmt.Sprintf("rank %d of %d", rank, len(able)))
}

// advanceWaiting acts when this host's turn has come, if the reason still holds
// and a majority can be fenced. A host that was cut off until then asks the
// others again: its reason and their opinions are from before.
func (m *Machine) advanceWaiting(now time.Time) {
	reason := m.assess(now)
	if reason == ReasonNone {
		m.enter(now, PhaseSteady, ReasonNone, "the reason is gone")
		return
	}
	if m.rivalFences(now) {
		m.backOff(now, "another host fences targets")
		return
	}
	if now.Before(m.attempt.actAt) {
		return
	}
	if !m.reachesMajoritySince(m.attempt.startedAt.Add(-m.times.SuspectAfter)) {
		m.attempt.cutOff = true
		if now.Sub(m.since) >= m.times.OrderTimeout {
			m.backOff(now, "this host reaches no majority of the targets")
		}
		return
	}
	if m.attempt.cutOff {
		m.startAsking(now, reason)
		return
	}
	m.attempt.term = m.highest + 1
	m.highest = m.attempt.term
	if m.reason == ReasonLeaving {
		m.enter(now, PhaseHandover, m.reason, "")
		m.fence(m.lead.primary)
		return
	}
	m.startFencing(now)
}

// rivalFences tells whether a target was fenced at a new term a short while ago.
func (m *Machine) rivalFences(now time.Time) bool {
	return !m.outvotedSince.IsZero() && m.outvotedFor(now) < m.times.SuspectAfter
}

// startFencing fences all targets. A primary that is cut off from its replicas
// is left out: its position is ahead with writes that nobody was promised.
func (m *Machine) startFencing(now time.Time) {
	m.enter(now, PhaseFencing, m.reason, "")
	for _, t := range m.group.Targets {
		if m.reason == ReasonStuck && t.ID == m.lead.primary {
			continue
		}
		m.fence(t.ID)
	}
}

func (m *Machine) fence(id topology.TargetID) {
	if m.attempt.ordered[id] {
		return
	}
	m.attempt.ordered[id] = true
	m.out = append(m.out, Give{Order{Kind: OrderFence, Target: id, Term: m.attempt.term}})
}

// advanceHandover waits until a replica has the leaving primary's last entry.
func (m *Machine) advanceHandover(now time.Time) {
	if !m.attempt.last.IsZero() {
		for _, t := range m.group.Targets {
			f := m.facts[t.ID]
			if !t.Leaving && t.ID != m.lead.primary && f.known && f.status.Received.AtLeast(m.attempt.last) {
				m.startFencing(now)
				return
			}
		}
	}
	if now.Sub(m.since) >= m.times.CatchUp {
		m.startFencing(now)
	}
}

func (m *Machine) advanceFencing(now time.Time) {
	if len(m.attempt.answers) >= m.group.Majority() && !m.awaitsMore(now) {
		m.attempt.chosen = choose(m.group, m.attempt.answers, m.lead.primary)
		m.enter(now, PhasePromoting, m.reason, string(m.attempt.chosen))
		m.promote(now)
		return
	}
	if now.Sub(m.since) >= m.times.OrderTimeout {
		m.backOff(now, fmt.Sprintf("%d of %d targets were fenced in time", len(m.attempt.answers), len(m.group.Targets)))
	}
}

// awaitsMore tells whether a handover lacks the answer of a target that could
// take over.
func (m *Machine) awaitsMore(now time.Time) bool {
	if m.reason != ReasonLeaving || now.Sub(m.since) >= m.times.CatchUp {
		return false
	}
	chosen, ok := m.group.Target(choose(m.group, m.attempt.answers, m.lead.primary))
	return ok && chosen.Leaving && len(m.attempt.answers) < len(m.group.Targets)
}

func (m *Machine) promote(now time.Time) {
	m.attempt.promoting, m.attempt.orderedAt = true, now
	m.out = append(m.out, Give{Order{Kind: OrderPromote, Target: m.attempt.chosen, Term: m.attempt.term}})
}

// advancePromoting repeats the order, which is idempotent, while its outcome
// is unknown. Another target is promoted at another term only.
func (m *Machine) advancePromoting(now time.Time) {
	f := m.facts[m.attempt.chosen]
	lost := f == nil || now.Sub(m.since) >= m.times.OrderTimeout && !f.heardSince(now.Add(-m.times.OrderTimeout))
	switch {
	case lost || now.Sub(m.since) >= m.times.PromoteTimeout:
		m.backOff(now, "the promotion got no answer")
	case !m.attempt.promoting && now.Sub(m.attempt.orderedAt) >= m.times.FastPoll:
		m.promote(now)
	}
}

// takeOrder takes the end of an order of this machine.
func (m *Machine) takeOrder(now time.Time, ev OrderDoneEvent) {
	if ev.Result == OrderDone {
		m.takeStatus(now, ev.Status, ev.SentAt)
	}
	if ev.Order.Kind == OrderFollow || ev.Order.Term != m.attempt.term || !m.phase.changing() {
		return
	}
	switch {
	case ev.Result == OrderStale && ev.Order.Kind == OrderFence:
		m.takeRefusedFence(now, ev.Order.Target)
	case ev.Result == OrderStale:
		m.backOff(now, "a rival has a higher term")
	case ev.Order.Kind == OrderFence && ev.Result == OrderDone:
		m.takeFence(ev)
	case ev.Order.Kind == OrderPromote && ev.Result == OrderDone:
		m.takePromotion(now)
	case ev.Order.Kind == OrderPromote:
		m.attempt.promoting = false
	}
}

// takeRefusedFence gives the attempt up once no majority is left for it. The
// refusal may be the answer to a second copy of this host's own order.
func (m *Machine) takeRefusedFence(now time.Time, id topology.TargetID) {
	if _, answered := m.attempt.answers[id]; answered {
		return
	}
	m.attempt.refused[id] = true
	if len(m.group.Targets)-len(m.attempt.refused) < m.group.Majority() {
		m.backOff(now, "a rival has a higher term")
	}
}

func (m *Machine) takeFence(ev OrderDoneEvent) {
	m.attempt.answers[ev.Order.Target] = ev.Status
	if m.phase == PhaseHandover && ev.Order.Target == m.lead.primary {
		m.attempt.last = ev.Status.Received
	}
}

// takePromotion ends a change: the others follow, the platform is told.
func (m *Machine) takePromotion(now time.Time) {
	old := m.lead.primary
	m.learn(m.attempt.term, m.attempt.chosen, true, now)
	m.lead.since = now
	if old == m.attempt.chosen {
		m.handoverAfter = now.Add(m.times.HandoverPause)
	}
	m.publish(now)
	for _, t := range m.group.Targets {
		if t.ID != m.lead.primary {
			m.follow(now, m.facts[t.ID])
		}
	}
	m.enter(now, PhaseSteady, m.reason, string(m.lead.primary))
}

// backOff gives an attempt up for a while, which grows with each failure.
func (m *Machine) backOff(now time.Time, detail string) {
	m.failures++
	pause := m.times.Backoff
	for range m.failures - 1 {
		pause = min(2*pause, m.times.LongestPause)
	}
	if m.phase.changing() {
		pause += time.Duration(weight(m.group.ID, m.self)%4) * m.times.Stagger // rivals that met don't meet again
	} else {
		pause = min(pause, m.times.SuspectAfter) // nothing was changed, so another look costs little
	}
	if m.reason == ReasonLeaving {
		m.handoverAfter = now.Add(m.times.HandoverPause)
	}
	m.resumeAt = now.Add(pause)
	m.enter(now, PhaseBackoff, m.reason, detail)
}

// choose returns the most advanced of the fenced targets: it has every
// confirmed commit. Among equals it prefers one that stays, then the primary
// so far, then one of its domain, then the first by name.
func choose(group topology.Group, fenced map[topology.TargetID]target.Status, before topology.TargetID) topology.TargetID {
	old, _ := group.Target(before)
	var best topology.Target
	for _, t := range group.Targets {
		st, ok := fenced[t.ID]
		if !ok {
			continue
		}
		if best.ID == "" || better(t, st.Received, best, fenced[best.ID].Received, old) {
			best = t
		}
	}
	return best.ID
}

func better(t topology.Target, at topology.Position, than topology.Target, thanAt topology.Position, old topology.Target) bool {
	if c := at.Compare(thanAt); c != 0 {
		return c > 0
	}
	if t.Leaving != than.Leaving {
		return than.Leaving
	}
	if (t.ID == old.ID) != (than.ID == old.ID) {
		return t.ID == old.ID
	}
	if (t.Domain == old.Domain) != (than.Domain == old.Domain) {
		return t.Domain == old.Domain
	}
	return t.ID < than.ID
}
