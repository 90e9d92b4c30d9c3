package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// take notes what an event tells.
func (m *Machine) take(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case StatusAnswered:
		m.takeStatus(now, ev.Status, ev.SentAt)
	case StatusFailed:
		m.takeFailure(ev)
	case ProbeDone:
		m.takeProbe(ev)
	case OpinionsGathered:
		m.takeOpinions(now, ev)
	case Asked:
		m.takeQuestion(now)
	case OrderDoneEvent:
		m.takeOrder(now, ev)
	}
}

func (m *Machine) takeStatus(now time.Time, st target.Status, sentAt time.Time) {
	f := m.facts[st.Target]
	if f == nil {
		return
	}
	f.polling = f.polling && sentAt.Before(f.polledAt)
	if sentAt.Before(f.heardAt) {
		return
	}
	f.status, f.known, f.heardAt = st, true, sentAt
	m.highest = max(m.highest, st.Term)
	if st.Role == target.Primary {
		m.learn(st.Term, st.Target, true, now)
	} else if st.Primary != "" {
		m.learn(st.Term, st.Primary, true, now)
	}
	m.compare(now)
}

// compare derives what the statuses tell together.
func (m *Machine) compare(now time.Time) {
	ahead := false
	for _, f := range m.facts {
		ahead = ahead || f.known && f.status.Term > m.lead.term
	}
	if !ahead {
		m.outvotedSince = time.Time{}
	} else if m.outvotedSince.IsZero() {
		m.outvotedSince = now
	}
	if f := m.facts[m.lead.primary]; f != nil && f.known && f.status.Role == target.Primary {
		m.progress.update(f.status.Received, m.majorityReceived(), now)
	}
}

// learn takes a term's primary; the highest term counts.
func (m *Machine) learn(term uint64, primary topology.TargetID, certain bool, now time.Time) {
	m.highest = max(m.highest, term)
	if term < m.lead.term {
		return
	}
	if term == m.lead.term && m.lead.primary != "" {
		m.lead.certain = m.lead.certain || certain && primary == m.lead.primary
		return
	}
	if m.progress.idleFor(now) >= m.times.StuckAfter/2 {
		m.progress.tries++ // until the change is seen to have helped
	}
	m.lead = lead{term: term, primary: primary, since: now, certain: certain}
	m.progress.markedAt, m.progress.movedAt = time.Time{}, now
	m.outvotedSince = time.Time{}
	for _, f := range m.facts {
		f.behindSince = time.Time{}
	}
}

func (m *Machine) takeFailure(ev StatusFailed) {
	f := m.facts[ev.Target]
	if f == nil {
		return
	}
	f.polling = f.polling && ev.SentAt.Before(f.polledAt)
	if ev.SentAt.After(f.failedAt) {
		f.failedAt = ev.SentAt
	}
}

func (m *Machine) takeProbe(ev ProbeDone) {
	f := m.facts[ev.Target]
	if f == nil {
		return
	}
	f.probing = false
	f.probedAt, f.probeResult = ev.SentAt, ev.Result
}

// takeQuestion looks at the primary anew, so that the answer is fresh.
func (m *Machine) takeQuestion(now time.Time) {
	m.alertUntil = now.Add(m.times.Alert)
	if f := m.facts[m.lead.primary]; f != nil {
		m.probe(now, f)
		m.pollNow(now, f)
	}
}
