package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// CurrentPrimary returns the highest term that is known to have had a primary,
// and that primary. FromTarget is false while only the published configuration
// or another host names the primary.
func (m *Machine) CurrentPrimary() (term uint64, primary topology.TargetID, fromTarget bool) {
	return m.current.term, m.current.primary, m.current.fromTarget
}

// LearnPrimary records the primary of a term that was learned outside of the
// machine's events.
func (m *Machine) LearnPrimary(term uint64, primary topology.TargetID, now time.Time) {
	m.learnPrimary(term, primary, false, now)
}

// CanConfirm returns an error with code NoMajority or FailoverUnderway if a
// write that begins now could not be confirmed.
func (m *Machine) CanConfirm(now time.Time) error {
	if m.phase.changingPrimary() {
		return errFailoverUnderway("group %s is changing its primary", m.group.ID)
	}
	if primary := m.targets[m.current.primary]; primary != nil && primary.answeredSince(m.current.learnedAt) && primary.status.Role != target.Primary {
		return errFailoverUnderway("target %s is no longer the primary of group %s", primary.id, m.group.ID)
	}
	failing := 0
	for _, state := range m.targets {
		if state.failing() {
			failing++
		}
	}
	if len(m.group.Targets)-failing < m.group.Majority() {
		return errNoMajority("%d of %d targets of group %s do not answer", failing, len(m.group.Targets), m.group.ID)
	}
	if m.replicationStalled(now) {
		return errFailoverUnderway("writes of group %s do not reach a majority of its targets", m.group.ID)
	}
	return nil
}

// OpinionReady reports whether the opinion is up to date: the primary answered a
// status request that was sent at or after requestedAt, or a probe of the primary
// that was sent since then failed.
func (m *Machine) OpinionReady(requestedAt time.Time) bool {
	primary := m.targets[m.current.primary]
	if primary == nil || primary.answeredSince(requestedAt) {
		return true
	}
	return !primary.probedAt.Before(requestedAt) && primary.probeResult != ProbeAnswered
}

// Opinion returns this host's opinion for a request that arrived at requestedAt.
func (m *Machine) Opinion(now, requestedAt time.Time) Opinion {
	opinion := Opinion{Host: m.self, Term: m.current.term, Primary: m.current.primary, Reaches: m.reachesMajority(now), Changes: m.phase.changingPrimary()}
	primary := m.targets[m.current.primary]
	serving := primary != nil && primary.answeredSince(requestedAt) && primary.status.Role == target.Primary && primary.status.Term == m.current.term
	opinion.Healthy = serving && opinion.Reaches && m.higherTermSince.IsZero() && !m.replicationStalled(now)
	return opinion
}

// GroupDump is the state of a machine, as shown to operators.
type GroupDump struct {
	Group          topology.GroupID  `json:"group"`
	Phase          Phase             `json:"phase"`
	PhaseAge       string            `json:"phase_age"`
	Reason         Reason            `json:"reason,omitempty"`
	Term           uint64            `json:"term"`
	Primary        topology.TargetID `json:"primary"`
	HighestTerm    uint64            `json:"highest_term"`
	FailedAttempts int               `json:"failed_attempts"`
	CanConfirm     string            `json:"can_confirm"`
	Targets        []TargetDump      `json:"targets"`
}

// TargetDump is the state of one target as a machine knows it.
type TargetDump struct {
	Target      topology.TargetID `json:"target"`
	Status      target.Status     `json:"status"`
	AnsweredAgo string            `json:"heard_ago"`
	Failing     bool              `json:"failing"`
	Leaving     bool              `json:"leaving"`
}

// Dump returns the state of the machine at now.
func (m *Machine) Dump(now time.Time) GroupDump {
	dump := GroupDump{
		Group:          m.group.ID,
		Phase:          m.phase,
		PhaseAge:       now.Sub(m.phaseSince).Round(time.Millisecond).String(),
		Reason:         m.reason,
		Term:           m.current.term,
		Primary:        m.current.primary,
		HighestTerm:    m.highestTerm,
		FailedAttempts: m.failedAttempts,
		CanConfirm:     "yes",
	}
	if err := m.CanConfirm(now); err != nil {
		dump.CanConfirm = err.Error()
	}
	for _, t := range m.group.Targets {
		state := m.targets[t.ID]
		targetDump := TargetDump{Target: t.ID, Status: state.status, AnsweredAgo: "never", Failing: state.failing(), Leaving: t.Leaving}
		if state.hasStatus {
			targetDump.AnsweredAgo = now.Sub(state.answeredAt).Round(time.Millisecond).String()
		}
		dump.Targets = append(dump.Targets, targetDump)
	}
	return dump
}
