package failover

import (
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Reason is why a group needs another primary.
type Reason string

// The reasons to replace a primary.
const (
	ReasonNone       Reason = ""
	ReasonFailed     Reason = "failed"     // a request failed; a probe is needed
	ReasonSilent     Reason = "silent"     // no answer within ProbeAfter; a probe is needed
	ReasonDown       Reason = "down"       // a new connection is refused
	ReasonDead       Reason = "dead"       // a new connection gets no answer either
	ReasonNoPrimary  Reason = "no primary" // no target is the primary
	ReasonHigherTerm Reason = "outvoted"   // a target is at a term above the primary's
	ReasonStalled    Reason = "stuck"      // the primary's writes do not reach a majority
	ReasonLeaving    Reason = "leaving"    // the primary is about to be taken out of service
)

// needsProbe reports whether a new connection has to be tried before a failover.
func (r Reason) needsProbe() bool { return r == ReasonFailed || r == ReasonSilent }

// maxHandoverEntries is how many entries a replica may lack when a planned
// handover begins.
const maxHandoverEntries = 200

// assessPrimary returns the reason why the primary has to be replaced, or
// ReasonNone if it is healthy.
func (m *Machine) assessPrimary(now time.Time) Reason {
	primary := m.targets[m.current.primary]
	if primary == nil {
		return m.assessUnknownPrimary(now)
	}
	if r := m.assessReachability(primary, now); r != ReasonNone {
		return r
	}
	if primary.answeredSince(m.current.learnedAt) && primary.status.Term == m.current.term && primary.status.Role != target.Primary {
		return ReasonNoPrimary // the primary restarted and is no longer primary; at a higher term it would have been fenced for a failover
	}
	if m.higherTermFor(now) >= m.timings.DetectionTimeout {
		return ReasonHigherTerm
	}
	if m.replicationStalled(now) {
		return ReasonStalled
	}
	if m.canHandOver(now) {
		return ReasonLeaving
	}
	return ReasonNone
}

// assessUnknownPrimary gives a primary time to be discovered after the start.
func (m *Machine) assessUnknownPrimary(now time.Time) Reason {
	if now.Sub(m.runningSince) < m.timings.DetectionTimeout {
		return ReasonNone
	}
	return ReasonNoPrimary
}

// assessReachability evaluates whether the primary answers this host.
func (m *Machine) assessReachability(primary *targetState, now time.Time) Reason {
	if primary.probedAt.After(primary.answeredAt) && !primary.probedAt.Before(m.runningSince) {
		if primary.probeResult == ProbeRefused {
			return ReasonDown
		}
		if primary.probeResult == ProbeTimedOut && m.silentFor(primary, now) >= m.timings.DetectionTimeout {
			return ReasonDead
		}
		if primary.probeResult == ProbeAnswered && now.Sub(primary.probedAt) < m.timings.DetectionTimeout {
			return ReasonNone // the primary is alive; only status requests from this host fail
		}
	}
	if primary.failing() && !primary.failedAt.Before(m.runningSince) {
		return ReasonFailed
	}
	if m.silentFor(primary, now) >= m.timings.ProbeAfter {
		return ReasonSilent
	}
	return ReasonNone
}

// silentFor returns how long a target has not answered. It does not count the time
// before this process last resumed from a pause, during which it could not receive
// answers, nor the time before it learned of the current primary.
func (m *Machine) silentFor(state *targetState, now time.Time) time.Duration {
	since := m.runningSince
	if state.answeredAt.After(since) {
		since = state.answeredAt
	}
	if m.current.learnedAt.After(since) {
		since = m.current.learnedAt
	}
	return now.Sub(since)
}

// higherTermFor returns how long a target has been at a term above the primary's.
func (m *Machine) higherTermFor(now time.Time) time.Duration {
	if m.higherTermSince.IsZero() {
		return 0
	}
	return now.Sub(m.higherTermSince)
}

// replicationStalled reports whether the primary's commits cannot be confirmed
// although this host reaches a majority of replicas, which means that the primary
// is cut off from them.
func (m *Machine) replicationStalled(now time.Time) bool {
	if m.confirmsByTerm() || m.progress.stalledFor(now) < m.progress.stallTimeout(m.timings) {
		return false
	}
	reachableReplicas := 0
	for _, t := range m.group.Targets {
		if t.ID != m.current.primary && m.reachable(m.targets[t.ID], now) {
			reachableReplicas++
		}
	}
	return reachableReplicas >= m.group.Majority()
}

// canHandOver reports whether the primary is leaving and a replica is close
// enough to its position to take over.
func (m *Machine) canHandOver(now time.Time) bool {
	primary, ok := m.group.Target(m.current.primary)
	if !ok || !primary.Leaving || now.Before(m.noHandoverBefore) {
		return false
	}
	primaryStatus := m.targets[primary.ID].status
	if primaryStatus.Role != target.Primary || primaryStatus.Term != m.current.term {
		return false
	}
	primaryPosition := primaryStatus.Received
	for _, t := range m.group.Targets {
		state := m.targets[t.ID]
		if t.Leaving || !m.reachable(state, now) || state.status.Term != m.current.term {
			continue
		}
		if state.status.Received.Term == primaryPosition.Term && state.status.Received.Offset+maxHandoverEntries >= primaryPosition.Offset {
			return true
		}
	}
	return false
}

// reachable reports whether a target answered this host recently.
func (m *Machine) reachable(state *targetState, now time.Time) bool {
	if state == nil || !state.hasStatus || state.failing() {
		return false
	}
	return now.Sub(state.answeredAt) < m.maxAnswerAge()
}

// maxAnswerAge returns how long an answer counts as recent: longer than one
// interval of the replica polls.
func (m *Machine) maxAnswerAge() time.Duration { return m.timings.ReplicaPoll + m.timings.PrimaryPoll }

// reachesMajority reports whether a majority of the targets answered recently.
func (m *Machine) reachesMajority(now time.Time) bool {
	return m.countTargets(func(state *targetState) bool { return m.reachable(state, now) }) >= m.group.Majority()
}

// reachesMajoritySince is the stricter condition for starting a failover: a
// majority answered requests that were sent at or after t, and is not failing.
func (m *Machine) reachesMajoritySince(t time.Time) bool {
	return m.countTargets(func(state *targetState) bool { return state.answeredSince(t) && !state.failing() }) >= m.group.Majority()
}

func (m *Machine) countTargets(matches func(*targetState) bool) int {
	count := 0
	for _, state := range m.targets {
		if matches(state) {
			count++
		}
	}
	return count
}

// majorityPosition returns the highest position that a majority has received,
// assuming that the primary has every position.
func (m *Machine) majorityPosition() topology.Position {
	var received []topology.Position
	for id, state := range m.targets {
		if id != m.current.primary && state.hasStatus {
			received = append(received, state.status.Received)
		}
	}
	replicasNeeded := m.group.Majority() - 1
	if replicasNeeded == 0 {
		return m.targets[m.current.primary].status.Received
	}
	if len(received) < replicasNeeded {
		return topology.Position{}
	}
	slices.SortFunc(received, func(a, b topology.Position) int { return b.Compare(a) })
	return received[replicasNeeded-1]
}
