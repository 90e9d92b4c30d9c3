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

// session is one client connection. Its goroutine owns all fields but those
// said to be guarded; abortWrite and cancelStatement are called by others.
type session struct {
	srv    *Server
	conn   net.Conn
	be     *pgproto3.Backend
	user   string
	pid    uint32
	key    []byte
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex // held while a statement runs; guards db, clock, tx
	db    *sqlite3.SQLiteConn
	clock clock
	tx    transaction

	writing  atomic.Bool // an open write transaction
	ordering bool        // an order that can rebuild the database isn't answered yet; guarded by srv.mu
	stale    bool        // to be closed after that answer; guarded by srv.mu
	opMu     sync.Mutex
	opCancel context.CancelFunc // of the running statement

	statements map[string]*prepared
	portals    map[string]*portal
	skipping   bool // after an error, until Sync
	position   topology.Position
}

// transaction is the state of the session's open transaction.
type transaction struct {
	explicit bool // opened by BEGIN
	failed   bool
	readOnly bool
	fenced   bool // rolled back because the server stopped being the primary
	write    *writeState
}

// writeState exists from a transaction's first write on; it holds the writer.
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

// run serves messages until the client ends.
func (s *session) run() {
	in := watchedReader(s.conn, s.cancel)
	defer in.Close()
	s.be = pgproto3.NewBackend(in, s.conn)
	for {
		msg, err := s.be.Receive()
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

// close rolls back and gives up the session's database connection.
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

// abortWrite rolls back an open write transaction after a fence.
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

// cancelStatement ends what runs now.
func (s *session) cancelStatement() {
	s.opMu.Lock()
	defer s.opMu.Unlock()
	if s.opCancel != nil {
		s.opCancel()
	}
}

// operation returns the context of one statement.
func (s *session) operation() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.opMu.Lock()
	s.opCancel = cancel
	s.opMu.Unlock()
	s.clock.ctx = ctx
	return ctx, func() {
		s.opMu.Lock()
		s.opCancel = nil
		s.opMu.Unlock()
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
