package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
)

// repairFollowers tells the targets that missed a failover to follow the current
// primary: a former primary that returned, and targets that were left fenced.
func (m *Machine) repairFollowers(now time.Time) {
	primary := m.targets[m.current.primary]
	if primary == nil || !primary.hasStatus || primary.status.Role != target.Primary || primary.status.Term != m.current.term {
		return
	}
	m.publishIfOverdue(now)
	for _, other := range m.targetStates() {
		if other == primary || !m.reachable(other, now) {
			continue
		}
		if !m.needsFollow(other) {
			other.needsFollowSince = time.Time{}
			continue
		}
		if other.needsFollowSince.IsZero() {
			other.needsFollowSince = now
		}
		if now.Sub(other.needsFollowSince) >= m.timings.RepairDelay && now.Sub(other.followSentAt) >= m.timings.RepairInterval {
			m.orderFollow(now, other)
		}
	}
}

// needsFollow reports whether a target has to be told to follow the current primary.
func (m *Machine) needsFollow(state *targetState) bool {
	if state.status.Term > m.current.term {
		return false // the target can only follow a primary of a later term
	}
	return state.status.Term < m.current.term || state.status.Role != target.Replica
}

func (m *Machine) orderFollow(now time.Time, state *targetState) {
	state.followSentAt = now
	order := Order{Kind: OrderFollow, Target: state.id, Term: m.current.term, Primary: m.current.primary}
	m.actions = append(m.actions, SendOrder{order})
}

func (m *Machine) publish(now time.Time) {
	m.publishedAt = now
	m.actions = append(m.actions, Publish{Term: m.current.term, Primary: m.current.primary})
}

// publishIfOverdue publishes a new primary that the promoting host did not publish.
func (m *Machine) publishIfOverdue(now time.Time) {
	if !m.current.fromTarget || m.current.term <= m.group.Term {
		return
	}
	since := m.current.learnedAt
	if m.publishedAt.After(since) {
		since = m.publishedAt
	}
	if now.Sub(since) >= m.timings.RepublishDelay {
		m.publish(now)
	}
}
