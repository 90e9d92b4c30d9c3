package failover

import "time"

// poll asks the targets whose turn it is.
func (m *Machine) poll(now time.Time) {
	for _, f := range m.all() {
		last := f.polledAt
		if f.heardAt.After(last) {
			last = f.heardAt
		}
		if now.Sub(last) >= m.pollInterval(now, f) {
			m.pollNow(now, f)
		}
	}
}

func (m *Machine) pollNow(now time.Time, f *fact) {
	if f.polling {
		return
	}
	f.polling, f.polledAt = true, now
	m.out = append(m.out, Poll{Target: f.id})
}

func (m *Machine) pollInterval(now time.Time, f *fact) time.Duration {
	switch {
	case m.phase != PhaseSteady || now.Before(m.alertUntil) || !f.known:
		return m.times.FastPoll
	case !m.reachesMajority(now):
		return m.times.FastPoll
	case f.id == m.lead.primary || !m.progress.markedAt.IsZero():
		return m.times.Poll
	default:
		return m.times.SparsePoll
	}
}

// probe tries a new connection, one at a time and not again for a while.
func (m *Machine) probe(now time.Time, f *fact) {
	if f.probing || now.Sub(f.probedAt) < m.times.FastPoll {
		return
	}
	f.probing = true
	m.out = append(m.out, Probe{Target: f.id})
}
