package failover

import "time"

// pollDue polls the targets whose poll interval has passed.
func (m *Machine) pollDue(now time.Time) {
	for _, state := range m.targetStates() {
		lastRequestAt := state.polledAt
		if state.answeredAt.After(lastRequestAt) {
			lastRequestAt = state.answeredAt
		}
		if now.Sub(lastRequestAt) >= m.pollInterval(now, state) {
			m.sendPoll(now, state)
		}
	}
}

func (m *Machine) sendPoll(now time.Time, state *targetState) {
	if state.pollInFlight {
		return
	}
	state.pollInFlight, state.polledAt = true, now
	m.actions = append(m.actions, Poll{Target: state.id})
}

func (m *Machine) pollInterval(now time.Time, state *targetState) time.Duration {
	switch {
	case m.phase != PhaseSteady || now.Before(m.fastPollUntil) || !state.hasStatus:
		return m.timings.FastPoll
	case !m.reachesMajority(now):
		return m.timings.FastPoll
	case state.id == m.current.primary || !m.progress.goalSetAt.IsZero():
		return m.timings.PrimaryPoll
	default:
		return m.timings.ReplicaPoll
	}
}

// sendProbe opens a new connection to a target, unless a probe is in flight or
// was sent less than FastPoll ago.
func (m *Machine) sendProbe(now time.Time, state *targetState) {
	if state.probeInFlight || now.Sub(state.probedAt) < m.timings.FastPoll {
		return
	}
	state.probeInFlight = true
	m.actions = append(m.actions, Probe{Target: state.id})
}
