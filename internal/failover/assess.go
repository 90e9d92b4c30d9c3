package failover

import (
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Reason tells why a group needs another primary.
type Reason string

// The reasons.
const (
	ReasonNone      Reason = ""
	ReasonFailed    Reason = "failed"     // a request failed; a new connection tells more
	ReasonSilent    Reason = "silent"     // no answer for a while; a new connection tells more
	ReasonDown      Reason = "down"       // a new connection is refused
	ReasonDead      Reason = "dead"       // a new connection is silent too
	ReasonNoPrimary Reason = "no primary" // no target is the primary
	ReasonOutvoted  Reason = "outvoted"   // a target is at a term above the primary's
	ReasonStuck     Reason = "stuck"      // the primary's writes reach no majority
	ReasonLeaving   Reason = "leaving"    // the primary is to be taken out of service
)

// doubtful tells whether a new connection has to be tried first.
func (r Reason) doubtful() bool { return r == ReasonFailed || r == ReasonSilent }

// handoverGap is how many entries a replica may lack for a planned change.
const handoverGap = 200

// assess tells what is wrong with the group's primary.
func (m *Machine) assess(now time.Time) Reason {
	f := m.facts[m.lead.primary]
	if f == nil {
		return m.assessMissing(now)
	}
	if r := m.assessReach(f, now); r != ReasonNone {
		return r
	}
	if f.heardSince(m.lead.since) && f.status.Term == m.lead.term && f.status.Role != target.Primary {
		return ReasonNoPrimary // it restarted; at a higher term a change is under way
	}
	if m.outvotedFor(now) >= m.times.SuspectAfter {
		return ReasonOutvoted
	}
	if m.stuck(now) {
		return ReasonStuck
	}
	if m.canHandOver(now) {
		return ReasonLeaving
	}
	return ReasonNone
}

// assessMissing waits for a primary to show itself after the start.
func (m *Machine) assessMissing(now time.Time) Reason {
	if now.Sub(m.awakeSince) < m.times.SuspectAfter {
		return ReasonNone
	}
	return ReasonNoPrimary
}

// assessReach judges the primary's answers to this host.
func (m *Machine) assessReach(f *fact, now time.Time) Reason {
	if f.probedAt.After(f.heardAt) && !f.probedAt.Before(m.awakeSince) {
		if f.probeResult == ProbeRefused {
			return ReasonDown
		}
		if f.probeResult == ProbeSilent && m.silence(f, now) >= m.times.SuspectAfter {
			return ReasonDead
		}
		if f.probeResult == ProbeAnswered && now.Sub(f.probedAt) < m.times.SuspectAfter {
			return ReasonNone // it lives; only this host's way to its status is disturbed
		}
	}
	if f.failing() && !f.failedAt.Before(m.awakeSince) {
		return ReasonFailed
	}
	if m.silence(f, now) >= m.times.ProbeAfter {
		return ReasonSilent
	}
	return ReasonNone
}

// silence returns for how long a target hasn't answered. A pause of this
// process counts as an answer: nobody listened meanwhile.
func (m *Machine) silence(f *fact, now time.Time) time.Duration {
	since := m.awakeSince
	if f.heardAt.After(since) {
		since = f.heardAt
	}
	if m.lead.since.After(since) {
		since = m.lead.since
	}
	return now.Sub(since)
}

// outvotedFor returns how long a target has been at a term above the primary's.
func (m *Machine) outvotedFor(now time.Time) time.Duration {
	if m.outvotedSince.IsZero() {
		return 0
	}
	return now.Sub(m.outvotedSince)
}

// stuck tells whether the primary's commits can't be confirmed although
// replicas answer: it is cut off from them.
func (m *Machine) stuck(now time.Time) bool {
	if m.anyTerm() || m.progress.idleFor(now) < m.progress.patience(m.times) {
		return false
	}
	reachable := 0
	for _, t := range m.group.Targets {
		if t.ID != m.lead.primary && m.reached(m.facts[t.ID], now) {
			reachable++
		}
	}
	return reachable >= m.group.Majority()
}

// canHandOver tells whether a leaving primary has a successor nearly at its position.
func (m *Machine) canHandOver(now time.Time) bool {
	p, ok := m.group.Target(m.lead.primary)
	if !ok || !p.Leaving || now.Before(m.handoverAfter) {
		return false
	}
	old := m.facts[p.ID].status
	if old.Role != target.Primary || old.Term != m.lead.term {
		return false
	}
	from := old.Received
	for _, t := range m.group.Targets {
		f := m.facts[t.ID]
		if t.Leaving || !m.reached(f, now) || f.status.Term != m.lead.term {
			continue
		}
		if f.status.Received.Term == from.Term && f.status.Received.Offset+handoverGap >= from.Offset {
			return true
		}
	}
	return false
}

// reached tells whether a target answered this host lately.
func (m *Machine) reached(f *fact, now time.Time) bool {
	if f == nil || !f.known || f.failing() {
		return false
	}
	return now.Sub(f.heardAt) < m.reachWindow()
}

// reachWindow outlasts one interval of the sparse polls.
func (m *Machine) reachWindow() time.Duration { return m.times.SparsePoll + m.times.Poll }

// reachesMajority tells whether a majority of the targets answered lately.
func (m *Machine) reachesMajority(now time.Time) bool {
	return m.countReached(func(f *fact) bool { return m.reached(f, now) }) >= m.group.Majority()
}

// reachesMajoritySince is the stricter form before an attempt: requests sent
// after t were answered.
func (m *Machine) reachesMajoritySince(t time.Time) bool {
	return m.countReached(func(f *fact) bool { return f.heardSince(t) && !f.failing() }) >= m.group.Majority()
}

func (m *Machine) countReached(ok func(*fact) bool) int {
	n := 0
	for _, f := range m.facts {
		if ok(f) {
			n++
		}
	}
	return n
}

// majorityReceived returns the highest position that a majority has, taking
// the primary's own for granted.
func (m *Machine) majorityReceived() topology.Position {
	var received []topology.Position
	for id, f := range m.facts {
		if id != m.lead.primary && f.known {
			received = append(received, f.status.Received)
		}
	}
	need := m.group.Majority() - 1
	if need == 0 {
		return m.facts[m.lead.primary].status.Received
	}
	if len(received) < need {
		return topology.Position{}
	}
	slices.SortFunc(received, func(a, b topology.Position) int { return b.Compare(a) })
	return received[need-1]
}
