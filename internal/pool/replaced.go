package pool

import (
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// replaced tells whether a target, as it last described itself, was replaced as
// the primary without knowing it: it stands still or is cut off. What it commits
// now can't be confirmed any more.
func replaced(st target.Status, term uint64, primary topology.TargetID) bool {
	described := st.Target != ""
	return described && primary != st.Target && term > st.Term
}

// endReplaced ends the writes that wait for a replaced primary. Their outcome
// is what it would be at their deadline.
func (m *Manager) endReplaced() {
	if m.opts.Primary == nil {
		return
	}
	for _, s := range m.streams.all() {
		sl := s.writesAt()
		if sl == nil {
			continue
		}
		term, primary, known := m.opts.Primary(sl.group)
		if known && replaced(sl.observed().status, term, primary) {
			replacedStreams.Inc()
			go m.abandon(s)
		}
	}
}
