package target

import (
	"time"

	ctl "nettlewalk.example/nettlewalk/internal/target"
)

// applyLoop applies received entries to the database, each after the apply
// lag.
func (s *Server) applyLoop() {
	for {
		entryPending := func() bool { return s.node.applied < s.node.log.length() && s.node.persisted.Role != ctl.Primary }
		if s.node.wait(s.ctx, entryPending) != nil {
			return
		}
		if err := s.applyNext(); err != nil {
			s.logf("apply: %v", err)
			return
		}
	}
}

// applyNext applies the next entry if it is due. Otherwise it waits until the
// entry is due or the node changes.
func (s *Server) applyNext() error {
	n := s.node
	n.mu.Lock()
	if n.applied >= n.log.length() || n.persisted.Role == ctl.Primary {
		n.mu.Unlock()
		return nil
	}
	entry, changed := n.log.entries[n.applied], n.changed
	remaining := time.Until(n.receivedAt[n.applied].Add(n.applyLag))
	if n.promotionPending {
		remaining = 0
	}
	n.mu.Unlock()
	if remaining > 0 {
		select {
		case <-time.After(remaining):
		case <-changed:
		case <-s.ctx.Done():
		}
		return nil
	}
	return s.applyEntry(entry)
}

// applyEntry holds the writer lock while it applies the entry, so that no
// session writes at the same time. It drops the result if the database was
// rebuilt meanwhile.
func (s *Server) applyEntry(e Entry) error {
	if err := s.store.lockWriter(s.ctx); err != nil {
		return nil
	}
	defer s.store.unlockWriter()
	n := s.node
	n.mu.Lock()
	superseded := n.applied+1 != e.Offset || n.log.positionAt(e.Offset).Term != e.Term
	conn, generation := s.store.applier, s.store.generation
	n.mu.Unlock()
	if superseded {
		return nil
	}
	if err := replayEntry(conn, s.store.clock, e); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if generation != s.store.generation {
		return nil
	}
	n.applied = e.Offset
	n.notifyLocked()
	return nil
}
