package failover

import (
	"fmt"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// attempt is one attempt to change the primary.
type attempt struct {
	id               uint64
	startedAt        time.Time
	fenceAt          time.Time // end of the waiting phase
	lackedMajority   bool      // this host reached no majority when it asked for opinions or at fenceAt
	term             uint64
	fenced           map[topology.TargetID]target.Status // statuses of the targets that this host fenced
	fenceSent        map[topology.TargetID]bool          // targets that were sent a fence
	fenceRefused     map[topology.TargetID]bool          // targets that refused the fence as stale
	candidate        topology.TargetID
	handoverPosition topology.Position // last position of a leaving primary
	promoteInFlight  bool              // a Promote was sent and has not finished
	promoteSentAt    time.Time         // send time of the latest Promote
}

// startPreVote begins an attempt by asking the other hosts for their opinions.
func (m *Machine) startPreVote(now time.Time, reason Reason) {
	m.attemptCount++
	m.attempt = attempt{
		id:             m.attemptCount,
		startedAt:      now,
		lackedMajority: !m.reachesMajority(now),
		fenced:         map[topology.TargetID]target.Status{},
		fenceSent:      map[topology.TargetID]bool{},
		fenceRefused:   map[topology.TargetID]bool{},
	}
	m.setPhase(now, PhasePreVote, reason, "")
	m.actions = append(m.actions, RequestOpinions{Attempt: m.attemptCount})
}

func (m *Machine) advancePreVote(now time.Time) {
	if now.Sub(m.phaseSince) >= m.timings.StepTimeout {
		m.backOff(now, "the opinions were not gathered in time")
	}
}

// handleOpinions evaluates the pre-vote. Nothing has been changed at the targets
// up to this point.
func (m *Machine) handleOpinions(now time.Time, ev OpinionsGathered) {
	if m.phase != PhasePreVote || ev.Attempt != m.attempt.id {
		return
	}
	eligible := []topology.HostID{m.self}
	for _, opinion := range ev.Opinions {
		m.highestTerm = max(m.highestTerm, opinion.Term)
		if opinion.Term > m.current.term && opinion.Primary != "" {
			m.learnPrimary(opinion.Term, opinion.Primary, false, now)
			m.backOff(now, fmt.Sprintf("host %s knows the primary of a later term", opinion.Host))
			return
		}
		if opinion.Healthy && m.reason != ReasonLeaving {
			m.backOff(now, fmt.Sprintf("the primary answers host %s", opinion.Host))
			return
		}
		if opinion.Changes {
			m.backOff(now, fmt.Sprintf("host %s is changing the primary", opinion.Host))
			return
		}
		if opinion.Reaches {
			eligible = append(eligible, opinion.Host)
		}
	}
	rank := Rank(m.group.ID, m.self, eligible)
	m.attempt.fenceAt = now.Add(time.Duration(rank) * m.timings.Stagger)
	m.setPhase(now, PhaseWaiting, m.reason, fmt.Sprintf("rank %d of %d", rank, len(eligible)))
}

// advanceWaiting starts the failover after this host's delay if the reason still
// holds and a majority of the targets can be fenced. A host that reached no
// majority during the pre-vote or at the end of the delay repeats the pre-vote,
// because its reason and the opinions date from before it reconnected.
func (m *Machine) advanceWaiting(now time.Time) {
	reason := m.assessPrimary(now)
	if reason == ReasonNone {
		m.setPhase(now, PhaseSteady, ReasonNone, "the reason for a failover no longer holds")
		return
	}
	if m.otherHostIsFencing(now) {
		m.backOff(now, "another host is fencing targets")
		return
	}
	if now.Before(m.attempt.fenceAt) {
		return
	}
	if !m.reachesMajoritySince(m.attempt.startedAt.Add(-m.timings.DetectionTimeout)) {
		m.attempt.lackedMajority = true
		if now.Sub(m.phaseSince) >= m.timings.StepTimeout {
			m.backOff(now, "this host does not reach a majority of the targets")
		}
		return
	}
	if m.attempt.lackedMajority {
		m.startPreVote(now, reason)
		return
	}
	m.attempt.term = m.highestTerm + 1
	m.highestTerm = m.attempt.term
	if m.reason == ReasonLeaving {
		m.setPhase(now, PhaseHandover, m.reason, "")
		m.orderFence(m.current.primary)
		return
	}
	m.startFencing(now)
}

// otherHostIsFencing reports whether a target was recently seen at a term above the
// current one, which another host must have fenced.
func (m *Machine) otherHostIsFencing(now time.Time) bool {
	return !m.higherTermSince.IsZero() && m.higherTermFor(now) < m.timings.DetectionTimeout
}

// startFencing fences all targets except a primary that is cut off from its
// replicas. Its position is ahead by writes that were never confirmed, so it would
// be chosen as the candidate.
func (m *Machine) startFencing(now time.Time) {
	m.setPhase(now, PhaseFencing, m.reason, "")
	for _, t := range m.group.Targets {
		if m.reason == ReasonStalled && t.ID == m.current.primary {
			continue
		}
		m.orderFence(t.ID)
	}
}

func (m *Machine) orderFence(id topology.TargetID) {
	if m.attempt.fenceSent[id] {
		return
	}
	m.attempt.fenceSent[id] = true
	m.actions = append(m.actions, SendOrder{Order{Kind: OrderFence, Target: id, Term: m.attempt.term}})
}

// advanceHandover waits until a replica has the last entry of the leaving primary.
func (m *Machine) advanceHandover(now time.Time) {
	if !m.attempt.handoverPosition.IsZero() {
		for _, t := range m.group.Targets {
			state := m.targets[t.ID]
			if !t.Leaving && t.ID != m.current.primary && state.hasStatus && state.status.Received.AtLeast(m.attempt.handoverPosition) {
				m.startFencing(now)
				return
			}
		}
	}
	if now.Sub(m.phaseSince) >= m.timings.CatchUpTimeout {
		m.startFencing(now)
	}
}

func (m *Machine) advanceFencing(now time.Time) {
	if m.countFenced() >= m.group.Majority() && !m.awaitsBetterCandidate(now) {
		m.attempt.candidate = chooseCandidate(m.group, m.attempt.fenced, m.current.primary)
		m.setPhase(now, PhasePromoting, m.reason, string(m.attempt.candidate))
		m.orderPromote(now)
		return
	}
	if now.Sub(m.phaseSince) >= m.timings.StepTimeout {
		m.backOff(now, fmt.Sprintf("%d of %d targets were fenced in time", m.countFenced(), len(m.group.Targets)))
	}
}

// countFenced returns how many targets of the present list this host fenced. A fenced
// target that left the list says nothing about the commits of a majority of this list.
func (m *Machine) countFenced() int {
	return m.countListed(func(id topology.TargetID) bool {
		_, ok := m.attempt.fenced[id]
		return ok
	})
}

func (m *Machine) countListed(matches func(topology.TargetID) bool) int {
	count := 0
	for _, t := range m.group.Targets {
		if matches(t.ID) {
			count++
		}
	}
	return count
}

// awaitsBetterCandidate reports whether a handover should wait for more fenced
// targets because the best candidate so far is itself leaving.
func (m *Machine) awaitsBetterCandidate(now time.Time) bool {
	if m.reason != ReasonLeaving || now.Sub(m.phaseSince) >= m.timings.CatchUpTimeout {
		return false
	}
	candidate, ok := m.group.Target(chooseCandidate(m.group, m.attempt.fenced, m.current.primary))
	return ok && candidate.Leaving && m.countFenced() < len(m.group.Targets)
}

func (m *Machine) orderPromote(now time.Time) {
	m.attempt.promoteInFlight, m.attempt.promoteSentAt = true, now
	m.actions = append(m.actions, SendOrder{Order{Kind: OrderPromote, Target: m.attempt.candidate, Term: m.attempt.term}})
}

// advancePromoting repeats the Promote, which is idempotent, while its outcome is
// unknown. Another target is only promoted at another term.
func (m *Machine) advancePromoting(now time.Time) {
	state := m.targets[m.attempt.candidate]
	unresponsive := state == nil || now.Sub(m.phaseSince) >= m.timings.StepTimeout && !state.answeredSince(now.Add(-m.timings.StepTimeout))
	switch {
	case unresponsive || now.Sub(m.phaseSince) >= m.timings.PromoteTimeout:
		m.backOff(now, "the promotion was not answered in time")
	case !m.attempt.promoteInFlight && now.Sub(m.attempt.promoteSentAt) >= m.timings.FastPoll:
		m.orderPromote(now)
	}
}

// handleOrder processes the result of an order that this machine issued.
func (m *Machine) handleOrder(now time.Time, ev OrderFinished) {
	if ev.Result == OrderSucceeded {
		m.handleStatus(now, ev.Status, ev.SentAt)
	}
	if ev.Order.Kind == OrderFollow || ev.Order.Term != m.attempt.term || !m.phase.changingPrimary() {
		return
	}
	switch {
	case ev.Result == OrderStale && ev.Order.Kind == OrderFence:
		m.handleRefusedFence(now, ev.Order.Target)
	case ev.Result == OrderStale:
		m.backOff(now, "another host has claimed this term or a higher one")
	case ev.Order.Kind == OrderFence && ev.Result == OrderSucceeded:
		m.handleFenced(ev)
	case ev.Order.Kind == OrderPromote && ev.Result == OrderSucceeded:
		m.handlePromoted(now)
	case ev.Order.Kind == OrderPromote:
		m.attempt.promoteInFlight = false
	}
}

// handleRefusedFence abandons the attempt once a majority can no longer be
// fenced. A refusal after an answer is ignored: it may answer a duplicate of this
// host's own fence.
func (m *Machine) handleRefusedFence(now time.Time, id topology.TargetID) {
	if _, answered := m.attempt.fenced[id]; answered {
		return
	}
	m.attempt.fenceRefused[id] = true
	refused := m.countListed(func(id topology.TargetID) bool { return m.attempt.fenceRefused[id] })
	if len(m.group.Targets)-refused < m.group.Majority() {
		m.backOff(now, "another host has claimed this term or a higher one")
	}
}

func (m *Machine) handleFenced(ev OrderFinished) {
	m.attempt.fenced[ev.Order.Target] = ev.Status
	if m.phase == PhaseHandover && ev.Order.Target == m.current.primary {
		m.attempt.handoverPosition = ev.Status.Received
	}
}

// handlePromoted completes a failover: the other targets are told to follow the
// new primary, which is published to the platform.
func (m *Machine) handlePromoted(now time.Time) {
	oldPrimary := m.current.primary
	m.learnPrimary(m.attempt.term, m.attempt.candidate, true, now)
	m.current.learnedAt = now
	if oldPrimary == m.attempt.candidate {
		m.noHandoverBefore = now.Add(m.timings.HandoverCooldown)
	}
	m.publish(now)
	for _, t := range m.group.Targets {
		if t.ID != m.current.primary {
			m.orderFollow(now, m.targets[t.ID])
		}
	}
	m.setPhase(now, PhaseSteady, m.reason, string(m.current.primary))
}

// backOff abandons an attempt and pauses for a time that grows with each failure.
func (m *Machine) backOff(now time.Time, detail string) {
	m.failedAttempts++
	pause := m.timings.InitialBackoff
	for range m.failedAttempts - 1 {
		pause = min(2*pause, m.timings.MaxBackoff)
	}
	if m.phase.changingPrimary() {
		pause += time.Duration(rendezvousWeight(m.group.ID, m.self)%4) * m.timings.Stagger // keeps competing hosts from colliding again
	} else {
		pause = min(pause, m.timings.DetectionTimeout) // nothing was changed, so checking again is cheap
	}
	if m.reason == ReasonLeaving {
		m.noHandoverBefore = now.Add(m.timings.HandoverCooldown)
	}
	m.backoffUntil = now.Add(pause)
	m.setPhase(now, PhaseBackoff, m.reason, detail)
}

// chooseCandidate returns the most advanced of the fenced targets, which has
// every confirmed commit. Among targets at the same position it prefers a target
// that is not leaving, then the old primary, then a target in the old primary's
// failure domain, then the lowest ID.
func chooseCandidate(group topology.Group, fenced map[topology.TargetID]target.Status, oldPrimary topology.TargetID) topology.TargetID {
	previous, _ := group.Target(oldPrimary)
	var best topology.Target
	for _, t := range group.Targets {
		st, ok := fenced[t.ID]
		if !ok {
			continue
		}
		if best.ID == "" || isBetterCandidate(t, st.Received, best, fenced[best.ID].Received, previous) {
			best = t
		}
	}
	return best.ID
}

func isBetterCandidate(a topology.Target, aPosition topology.Position, b topology.Target, bPosition topology.Position, oldPrimary topology.Target) bool {
	if c := aPosition.Compare(bPosition); c != 0 {
		return c > 0
	}
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	if (a.ID == oldPrimary.ID) != (b.ID == oldPrimary.ID) {
		return a.ID == oldPrimary.ID
	}
	if (a.Domain == oldPrimary.Domain) != (b.Domain == oldPrimary.Domain) {
		return a.Domain == oldPrimary.Domain
	}
	return a.ID < b.ID
}
