package pool

import (
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// isReplacedPrimary reports whether a target has been replaced as the primary
// but, by its latest status, does not know it yet, because it hangs or is
// partitioned. What it commits now can't be confirmed any more.
func isReplacedPrimary(st target.Status, term uint64, primary topology.TargetID) bool {
	described := st.Target != ""
	return described && primary != st.Target && term > st.Term
}

// abortReplacedPrimaryStreams aborts the writes that wait for a replaced
// primary. Their outcome is the same as it would be at their deadline.
func (m *Manager) abortReplacedPrimaryStreams() {
	if m.opts.Primary == nil {
		return
	}
	for _, s := range m.streams.all() {
		sl := s.writeSlot()
		if sl == nil {
			continue
		}
		term, primary, known := m.opts.Primary(sl.group)
		if known && isReplacedPrimary(sl.latestStatus().status, term, primary) {
			replacedStreams.Inc()
			go m.abortStream(s)
		}
	}
}
