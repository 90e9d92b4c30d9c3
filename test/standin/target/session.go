package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/mattn/go-sqlite3"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// session is one client connection. Its goroutine owns all fields except those
// documented as guarded. Other goroutines call abortWrite and cancelStatement.
type session struct {
	srv       *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	user      string
	pid       uint32
	cancelKey []byte
	ctx       context.Context
	cancel    context.CancelFunc

	mu    sync.Mutex // held while a statement runs; guards db, clock and tx
	db    *sqlite3.SQLiteConn
	clock clock
	tx    transaction

	writing           atomic.Bool        // a write transaction is open
	roleChangePending bool               // a role change that can rebuild the database awaits its response; guarded by srv.mu
	databaseReplaced  bool               // close the connection after that response; guarded by srv.mu
	cancelMu          sync.Mutex         // guards cancelRunning
	cancelRunning     context.CancelFunc // cancels the running statement

	statements         map[string]*prepared
	portals            map[string]*portal
	skipUntilSync      bool // an error occurred; ignore messages until Sync
	unreportedPosition topology.Position
}

// transaction is the state of the session's current transaction.
type transaction struct {
	explicit bool // opened by BEGIN
	failed   bool
	readOnly bool
	fenced   bool // rolled back because the server was no longer the primary
	write    *writeState
}

// writeState exists from the first write of a transaction until its end. The
// session holds the writer lock meanwhile.
type writeState struct {
	term       uint64
	now        time.Time
	statements []Statement
}

func (s *session) openDatabase() error {
	s.srv.node.mu.Lock()
	db := s.srv.store.db
	s.srv.node.mu.Unlock()
	conn, err := db.open(&s.clock)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.db = conn
	s.statements = map[string]*prepared{}
	s.portals = map[string]*portal{}
	return nil
}

// run handles messages until the client disconnects or terminates.
func (s *session) run() {
	input := newDisconnectReader(s.conn, s.cancel)
	defer input.Close()
	s.backend = pgproto3.NewBackend(input, s.conn)
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if s.handle(msg) != nil {
			return
		}
	}
}

// close rolls back the transaction and closes the client and database
// connections.
func (s *session) close() {
	s.cancel()
	s.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db == nil {
		return
	}
	s.rollback()
	for _, st := range s.statements {
		st.close()
	}
	s.db.Close()
	s.db = nil
}

// abortWrite rolls back an open write transaction after the server was fenced.
func (s *session) abortWrite() {
	if s.writing.Load() {
		s.cancelStatement()
	}
	s.mu.Lock()
	writing := s.db != nil && s.tx.write != nil
	if writing {
		s.rollback()
		s.tx.failed, s.tx.fenced = s.tx.explicit, true
	}
	s.mu.Unlock()
}

// cancelStatement cancels the running statement, if any.
func (s *session) cancelStatement() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.cancelRunning != nil {
		s.cancelRunning()
	}
}

// beginStatement returns the context of a statement and a function that ends
// the statement.
func (s *session) beginStatement() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelMu.Lock()
	s.cancelRunning = cancel
	s.cancelMu.Unlock()
	s.clock.ctx = ctx
	return ctx, func() {
		s.cancelMu.Lock()
		s.cancelRunning = nil
		s.cancelMu.Unlock()
		s.clock.ctx = nil
		cancel()
	}
}

func (s *session) txStatus() byte {
	switch {
	case s.tx.failed:
		return 'E'
	case s.tx.explicit:
		return 'T'
	default:
		return 'I'
	}
}
