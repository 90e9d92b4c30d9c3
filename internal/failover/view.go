package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Lead returns the highest term known to have had a primary, and the primary.
// Certain is false while only the published hint tells.
func (m *Machine) Lead() (term uint64, primary topology.TargetID, certain bool) {
	return m.lead.term, m.lead.primary, m.lead.certain
}

// Learn takes a term's primary from elsewhere than this machine's events.
func (m *Machine) Learn(term uint64, primary topology.TargetID, now time.Time) {
	m.learn(term, primary, false, now)
}

// CanConfirm returns an error of code NoMajority or FailoverUnderway when a
// write that begins now would not be confirmed.
func (m *Machine) CanConfirm(now time.Time) error {
	if m.phase.changing() {
		return errFailover("%s is changing its primary", m.group.ID)
	}
	if f := m.facts[m.lead.primary]; f != nil && f.heardSince(m.lead.since) && f.status.Role != target.Primary {
		return errFailover("%s is no longer the primary of %s", f.id, m.group.ID)
	}
	failing := 0
	for _, f := range m.facts {
		if f.failing() {
			failing++
		}
	}
	if len(m.group.Targets)-failing < m.group.Majority() {
		return errNoMajority("%d of %d targets of %s don't answer", failing, len(m.group.Targets), m.group.ID)
	}
	if m.stuck(now) {
		return errFailover("writes of %s reach no majority of its targets", m.group.ID)
	}
	return nil
}

// OpinionReady tells whether the primary's reach was settled by a request sent
// at or after asked.
func (m *Machine) OpinionReady(asked time.Time) bool {
	f := m.facts[m.lead.primary]
	if f == nil || f.heardSince(asked) {
		return true
	}
	return !f.probedAt.Before(asked) && f.probeResult != ProbeAnswered
}

// Opinion answers a question of another host that came at asked.
func (m *Machine) Opinion(now, asked time.Time) Opinion {
	o := Opinion{Host: m.self, Term: m.lead.term, Primary: m.lead.primary, Reaches: m.reachesMajority(now), Changes: m.phase.changing()}
	f := m.facts[m.lead.primary]
	serving := f != nil && f.heardSince(asked) && f.status.Role == target.Primary && f.status.Term == m.lead.term
	o.Healthy = serving && o.Reaches && m.outvotedSince.IsZero() && !m.stuck(now)
	return o
}

// GroupDump is a machine's state for operators.
type GroupDump struct {
	Group      topology.GroupID  `json:"group"`
	Phase      Phase             `json:"phase"`
	PhaseAge   string            `json:"phase_age"`
	Reason     Reason            `json:"reason,omitempty"`
	Term       uint64            `json:"term"`
	Primary    topology.TargetID `json:"primary"`
	Highest    uint64            `json:"highest_term"`
	Failures   int               `json:"failed_attempts"`
	CanConfirm string            `json:"can_confirm"`
	Targets    []TargetDump      `json:"targets"`
}

// TargetDump is what a machine knows of one target.
type TargetDump struct {
	Target   topology.TargetID `json:"target"`
	Status   target.Status     `json:"status"`
	HeardAgo string            `json:"heard_ago"`
	Failing  bool              `json:"failing"`
	Leaving  bool              `json:"leaving"`
}

// Dump returns the state at now.
func (m *Machine) Dump(now time.Time) GroupDump {
	d := GroupDump{
		Group:      m.group.ID,
		Phase:      m.phase,
		PhaseAge:   now.Sub(m.since).Round(time.Millisecond).String(),
		Reason:     m.reason,
		Term:       m.lead.term,
		Primary:    m.lead.primary,
		Highest:    m.highest,
		Failures:   m.failures,
		CanConfirm: "yes",
	}
	if err := m.CanConfirm(now); err != nil {
		d.CanConfirm = err.Error()
	}
	for _, t := range m.group.Targets {
		f := m.facts[t.ID]
		td := TargetDump{Target: t.ID, Status: f.status, HeardAgo: "never", Failing: f.failing(), Leaving: t.Leaving}
		if f.known {
			td.HeardAgo = now.Sub(f.heardAt).Round(time.Millisecond).String()
		}
		d.Targets = append(d.Targets, td)
	}
	return d
}
