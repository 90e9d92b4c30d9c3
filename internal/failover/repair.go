package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
)

// repair tells targets that missed a change to follow the primary: the old
// primary when it returns, and targets that were fenced and left alone.
func (m *Machine) repair(now time.Time) {
	f := m.facts[m.lead.primary]
	if f == nil || !f.known || f.status.Role != target.Primary || f.status.Term != m.lead.term {
		return
	}
	m.publishLate(now)
	for _, other := range m.all() {
		if other == f || !m.reached(other, now) {
			continue
		}
		if !m.behind(other) {
			other.behindSince = time.Time{}
			continue
		}
		if other.behindSince.IsZero() {
			other.behindSince = now
		}
		if now.Sub(other.behindSince) >= m.times.RepairAfter && now.Sub(other.orderedAt) >= m.times.RepairEvery {
			m.follow(now, other)
		}
	}
}

// behind tells whether a target doesn't follow the primary of the present term.
func (m *Machine) behind(f *fact) bool {
	if f.status.Term > m.lead.term {
		return false // only a later term can take it back
	}
	return f.status.Term < m.lead.term || f.status.Role != target.Replica
}

func (m *Machine) follow(now time.Time, f *fact) {
	f.orderedAt = now
	order := Order{Kind: OrderFollow, Target: f.id, Term: m.lead.term, Primary: m.lead.primary}
	m.out = append(m.out, Give{order})
}

func (m *Machine) publish(now time.Time) {
	m.publishedAt = now
	m.out = append(m.out, Publish{Term: m.lead.term, Primary: m.lead.primary})
}

// publishLate publishes an outcome that the promoting host didn't.
func (m *Machine) publishLate(now time.Time) {
	if !m.lead.certain || m.lead.term <= m.group.Term {
		return
	}
	since := m.lead.since
	if m.publishedAt.After(since) {
		since = m.publishedAt
	}
	if now.Sub(since) >= m.times.PublishLate {
		m.publish(now)
	}
}
