package target

import (
	"time"

	ctl "nettlewalk.example/nettlewalk/internal/target"
)

// applyLoop runs received entries on the database, each after the apply lag.
func (s *Server) applyLoop() {
	for {
		ready := func() bool { return s.node.applied < s.node.log.len() && s.node.meta.Role != ctl.Primary }
		if s.node.wait(s.ctx, ready) != nil {
			return
		}
		if err := s.applyNext(); err != nil {
			s.logf("apply: %v", err)
			return
		}
	}
}

// applyNext applies the next entry if it is due, else waits for a change.
func (s *Server) applyNext() error {
	n := s.node
	n.mu.Lock()
	if n.applied >= n.log.len() || n.meta.Role == ctl.Primary {
		n.mu.Unlock()
		return nil
	}
	entry, changed := n.log.entries[n.applied], n.changed
	left := time.Until(n.receivedAt[n.applied].Add(n.applyLag))
	if n.urgent {
		left = 0
	}
	n.mu.Unlock()
	if left > 0 {
		select {
		case <-time.After(left):
		case <-changed:
		case <-s.ctx.Done():
		}
		return nil
	}
	return s.applyEntry(entry)
}

// applyEntry holds the store's writer, so that no rebuild passes in between.
func (s *Server) applyEntry(e Entry) error {
	if err := s.store.lockWriter(s.ctx); err != nil {
		return nil
	}
	defer s.store.unlockWriter()
	n := s.node
	n.mu.Lock()
	stale := n.applied+1 != e.Offset || n.log.at(e.Offset).Term != e.Term
	conn, generation := s.store.applier, s.store.generation
	n.mu.Unlock()
	if stale {
		return nil
	}
	if err := applyEntry(conn, s.store.clock, e); err != nil {
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
