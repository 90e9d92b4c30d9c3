package target

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// begin opens an explicit transaction.
func (s *session) begin(readOnly bool) {
	s.tx.explicit = true
	s.tx.readOnly = s.tx.readOnly || readOnly
}

// beginWrite takes the writer for the rest of the transaction.
func (s *session) beginWrite(ctx context.Context) error {
	if s.tx.fenced || s.tx.readOnly {
		return errNotPrimary()
	}
	if s.tx.write != nil {
		if _, ok := s.srv.node.writable(s.tx.write.term); !ok {
			return errNotPrimary()
		}
		return nil
	}
	if _, ok := s.srv.node.writable(0); !ok {
		return errNotPrimary()
	}
	// The lock of the session stays free meanwhile for close and abortWrite.
	s.mu.Unlock()
	err := s.srv.store.lockWriter(ctx)
	s.mu.Lock()
	if err != nil {
		return err
	}
	term, ok := s.srv.node.writable(0)
	if !ok {
		s.srv.store.unlockWriter()
		return errNotPrimary()
	}
	if err := execOne(s.db, Statement{SQL: "BEGIN IMMEDIATE"}); err != nil {
		s.srv.store.unlockWriter()
		return err
	}
	s.tx.write = &writeState{term: term, now: time.Now()}
	s.writing.Store(true)
	s.clock.now = s.tx.write.now
	return nil
}

// commit ends the transaction; a failed one is rolled back. It tells whether
// the transaction was committed.
func (s *session) commit() (bool, error) {
	tx := s.tx
	if tx.failed || tx.fenced {
		s.rollback()
		return false, nil
	}
	if tx.write == nil {
		s.tx = transaction{}
		return true, nil
	}
	if len(tx.write.statements) == 0 {
		s.rollback()
		return true, nil
	}
	pos, err := s.srv.node.commit(tx.write.term, tx.write.now, tx.write.statements, func() error {
		return execOne(s.db, Statement{SQL: "COMMIT"})
	})
	if err != nil {
		s.rollback()
		return false, err
	}
	s.position = pos
	s.endWrite()
	s.tx = transaction{}
	return true, nil
}

// rollback ends the transaction without an effect.
func (s *session) rollback() {
	if s.tx.write != nil {
		_ = execOne(s.db, Statement{SQL: "ROLLBACK"})
		s.endWrite()
	}
	s.tx = transaction{}
}

func (s *session) endWrite() {
	s.tx.write = nil
	s.writing.Store(false)
	s.clock.now = time.Time{}
	s.srv.store.unlockWriter()
}

// endImplicit commits what ran outside of BEGIN and COMMIT.
func (s *session) endImplicit() error {
	if s.tx.explicit {
		return nil
	}
	if s.tx.fenced {
		s.tx = transaction{}
		return errNotPrimary()
	}
	_, err := s.commit()
	return err
}

// fail marks the transaction failed after an error, or rolls back an implicit
// one. SQLite may have rolled back by itself.
func (s *session) fail() {
	if !s.tx.explicit {
		s.rollback()
		return
	}
	if s.tx.write != nil && s.db.AutoCommit() {
		s.endWrite()
	}
	s.tx.failed = true
}

// takePosition returns the position of the last commit not reported yet.
func (s *session) takePosition() topology.Position {
	pos := s.position
	s.position = topology.Position{}
	return pos
}
