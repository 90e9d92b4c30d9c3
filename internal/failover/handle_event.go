package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// handleEvent updates the state of the machine from an event.
func (m *Machine) handleEvent(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case StatusAnswered:
		m.handleStatus(now, ev.Status, ev.SentAt)
	case StatusFailed:
		m.handleStatusFailure(ev)
	case ProbeFinished:
		m.handleProbe(ev)
	case OpinionsGathered:
		m.handleOpinions(now, ev)
	case OpinionRequested:
		m.handleOpinionRequest(now)
	case OrderFinished:
		m.handleOrder(now, ev)
	}
}

func (m *Machine) handleStatus(now time.Time, st target.Status, sentAt time.Time) {
	state := m.targets[st.Target]
	if state == nil {
		return
	}
	state.pollInFlight = state.pollInFlight && sentAt.Before(state.polledAt)
	if sentAt.Before(state.answeredAt) {
		return
	}
	state.status, state.hasStatus, state.answeredAt = st, true, sentAt
	m.highestTerm = max(m.highestTerm, st.Term)
	if st.Role == target.Primary {
		m.learnPrimary(st.Term, st.Target, true, now)
	} else if st.Primary != "" {
		m.learnPrimary(st.Term, st.Primary, true, now)
	}
	m.evaluateStatuses(now)
}

// evaluateStatuses checks the latest statuses of all targets for a term above
// the current one and for replication progress.
func (m *Machine) evaluateStatuses(now time.Time) {
	higherTermSeen := false
	for _, state := range m.targets {
		higherTermSeen = higherTermSeen || state.hasStatus && state.status.Term > m.current.term
	}
	if !higherTermSeen {
		m.higherTermSince = time.Time{}
	} else if m.higherTermSince.IsZero() {
		m.higherTermSince = now
	}
	if primary := m.targets[m.current.primary]; primary != nil && primary.hasStatus && primary.status.Role == target.Primary {
		m.progress.update(primary.status.Received, m.majorityPosition(), now)
	}
}

// learnPrimary records the primary of a term unless a higher term is known.
func (m *Machine) learnPrimary(term uint64, primary topology.TargetID, fromTarget bool, now time.Time) {
	m.highestTerm = max(m.highestTerm, term)
	if term < m.current.term {
		return
	}
	if term == m.current.term && m.current.primary != "" {
		m.current.fromTarget = m.current.fromTarget || fromTarget && primary == m.current.primary
		return
	}
	if m.progress.stalledFor(now) >= m.timings.StallTimeout/2 {
		m.progress.failoversWithoutProgress++ // reset once the majority reaches the goal
	}
	m.current = knownPrimary{term: term, primary: primary, learnedAt: now, fromTarget: fromTarget}
	m.progress.goalSetAt, m.progress.majorityMovedAt = time.Time{}, now
	m.higherTermSince = time.Time{}
	for _, state := range m.targets {
		state.needsFollowSince = time.Time{}
	}
}

func (m *Machine) handleStatusFailure(ev StatusFailed) {
	state := m.targets[ev.Target]
	if state == nil {
		return
	}
	state.pollInFlight = state.pollInFlight && ev.SentAt.Before(state.polledAt)
	if ev.SentAt.After(state.failedAt) {
		state.failedAt = ev.SentAt
	}
}

func (m *Machine) handleProbe(ev ProbeFinished) {
	state := m.targets[ev.Target]
	if state == nil {
		return
	}
	state.probeInFlight = false
	state.probedAt, state.probeResult = ev.SentAt, ev.Result
}

// handleOpinionRequest polls and probes the primary so that the opinion is fresh.
func (m *Machine) handleOpinionRequest(now time.Time) {
	m.fastPollUntil = now.Add(m.timings.FastPollDuration)
	if primary := m.targets[m.current.primary]; primary != nil {
		m.sendProbe(now, primary)
		m.sendPoll(now, primary)
	}
}
