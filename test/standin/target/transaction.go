package target

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// begin opens an explicit transaction block.
func (s *session) begin(readOnly bool) {
	s.tx.explicit = true
	s.tx.readOnly = s.tx.readOnly || readOnly
}

// beginWrite acquires the writer lock for the rest of the transaction.
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
	// Release the session lock while waiting, so that close and abortWrite can
	// acquire it.
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

// commit ends the transaction and reports whether it was committed. A failed
// transaction is rolled back.
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
	s.unreportedPosition = pos
	s.endWrite()
	s.tx = transaction{}
	return true, nil
}

// rollback discards the transaction.
func (s *session) rollback() {
	if s.tx.write != nil {
		_ = execOne(s.db, Statement{SQL: "ROLLBACK"})
		s.endWrite()
	}
	s.tx = transaction{}
}

// endWrite releases the writer lock.
func (s *session) endWrite() {
	s.tx.write = nil
	s.writing.Store(false)
	s.clock.now = time.Time{}
	s.srv.store.unlockWriter()
}

// endImplicit commits the statements that ran outside a transaction block.
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

// markFailed marks an explicit transaction as failed after an error and rolls
// back an implicit one. SQLite may already have rolled back the transaction on
// its own.
func (s *session) markFailed() {
	if !s.tx.explicit {
		s.rollback()
		return
	}
	if s.tx.write != nil && s.db.AutoCommit() {
		s.endWrite()
	}
	s.tx.failed = true
}

// takePosition returns and clears the position of the last commit that was not
// yet reported to the client.
func (s *session) takePosition() topology.Position {
	pos := s.unreportedPosition
	s.unreportedPosition = topology.Position{}
	return pos
}
