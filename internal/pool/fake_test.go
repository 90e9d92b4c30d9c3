package pool

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeTarget implements enough of the protocol for the pool's tests:
//
//	INSERT    commits and reports a position; fails with 25006 unless primary
//	BEGIN, COMMIT, ROLLBACK
//	ROWS n s  returns n rows of s bytes
//	ECHO x    returns x, sometimes late
//	HOLD      completes once unblock is closed
//	FAIL      fails with 22012
//	COPY      starts a copy
type fakeTarget struct {
	t        *testing.T
	listener net.Listener
	unblock  chan struct{}

	mu        sync.Mutex
	conns     map[net.Conn]uint32
	locks     map[int]net.Conn
	connLimit int
	peakConns int // most connections at once
	opened    int
	role      target.Role
	position  topology.Position
	ran       map[string]int // how often each statement ran, by its text
	parsed    int
	canceled  int
	wg        sync.WaitGroup
}

func startFakeTarget(t *testing.T) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f := &fakeTarget{
		t: t, listener: l, unblock: make(chan struct{}), conns: map[net.Conn]uint32{}, locks: map[int]net.Conn{},
		connLimit: 16, role: target.Primary, position: topology.Position{Term: 1}, ran: map[string]int{},
	}
	f.wg.Add(1)
	go f.accept()
	return f
}

func (f *fakeTarget) stop() {
	_ = f.listener.Close()
	f.mu.Lock()
	for c := range f.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *fakeTarget) topology() topology.Target {
	return topology.Target{ID: "t1", Group: "g1", Addr: f.listener.Addr().String(), Connections: 16, Slots: 2}
}

func (f *fakeTarget) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTarget) readInt(read func() int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return read()
}

func (f *fakeTarget) accept() {
	defer f.wg.Done()
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.serve(conn)
			f.withLock(func() {
				delete(f.conns, conn)
				for slot, c := range f.locks {
					if c == conn {
						delete(f.locks, slot)
					}
				}
			})
			_ = conn.Close()
		}()
	}
}

// fakeSession is one connection to a fakeTarget.
type fakeSession struct {
	*fakeTarget
	conn       net.Conn
	backend    *pgproto3.Backend
	txStatus   byte
	hasWrites  bool
	statements map[string]string
	portalSQL  string
}

func (f *fakeTarget) serve(conn net.Conn) {
	s := &fakeSession{fakeTarget: f, conn: conn, backend: pgproto3.NewBackend(conn, conn), txStatus: 'I', statements: map[string]string{}}
	startup, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := startup.(*pgproto3.CancelRequest); ok {
		f.withLock(func() { f.canceled++ })
		return
	}
	full := false
	f.withLock(func() {
		full = len(f.conns) >= f.connLimit
		f.opened++
		if !full {
			f.conns[conn] = uint32(f.opened)
			f.peakConns = max(f.peakConns, len(f.conns))
		}
	})
	if full {
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: target.StateTooManyConnections, Message: "full"})
		_ = s.backend.Flush()
		return
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for s.backend.Flush() == nil && s.handleMessage() {
	}
}

func (s *fakeSession) handleMessage() bool {
	msg, err := s.backend.Receive()
	if err != nil {
		return false
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.execute(m.String, true)
		s.sendReady()
	case *pgproto3.Parse:
		s.withLock(func() { s.parsed++ })
		if _, exists := s.statements[m.Name]; exists && m.Name != "" {
			return s.sendError("42P05")
		}
		s.statements[m.Name] = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.statements[m.PreparedStatement]
		if !ok {
			return s.sendError("26000")
		}
		s.portalSQL = sql
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			s.backend.Send(&pgproto3.ParameterDescription{})
		}
		s.backend.Send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		if !s.execute(s.portalSQL, false) {
			return s.skipToSync()
		}
	case *pgproto3.Close:
		delete(s.statements, m.Name)
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.sendReady()
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (s *fakeSession) sendReady() {
	if s.txStatus == 'I' && s.hasWrites {
		s.hasWrites = false
		s.withLock(func() {
			s.position.Offset++
			s.backend.Send(&pgproto3.ParameterStatus{Name: target.PositionParameter, Value: s.position.String()})
		})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
}

func (s *fakeSession) sendError(state string) bool {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "fake"})
	return s.skipToSync()
}

// skipToSync drops messages up to the next Sync after an error.
func (s *fakeSession) skipToSync() bool {
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return false
		}
		if _, ok := msg.(*pgproto3.Sync); ok {
			s.sendReady()
			return true
		}
	}
}

func (s *fakeSession) execute(sql string, simple bool) bool {
	s.withLock(func() { s.ran[sql]++ })
	word, rest, _ := strings.Cut(sql, " ")
	switch word {
	case "SELECT":
		return s.handleControl(sql)
	case "INSERT":
		if s.readInt(func() int { return map[bool]int{true: 1}[s.role == target.Primary] }) == 0 {
			s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: target.StateNotPrimary, Message: "read only"})
			return false
		}
		s.hasWrites = true
	case "BEGIN":
		s.txStatus = 'T'
	case "COMMIT":
		s.txStatus = 'I'
	case "ROLLBACK":
		s.txStatus, s.hasWrites = 'I', false
	case "ROWS":
		s.sendRows(rest)
	case "ECHO":
		time.Sleep(time.Duration(len(rest)%4) * time.Millisecond)
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(rest)}})
	case "HOLD":
		<-s.unblock
	case "FAIL":
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "22012", Message: "fake"})
		return false
	case "COPY":
		s.backend.Send(&pgproto3.CopyInResponse{})
		return true
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	return true
}

func (s *fakeSession) sendRows(args string) {
	var n, size int
	_, _ = fmt.Sscan(args, &n, &size)
	value := make([]byte, size)
	for range n {
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{value}})
		if s.backend.Flush() != nil {
			return
		}
	}
}

// handleControl executes the control statements of package target.
func (s *fakeSession) handleControl(sql string) bool {
	var row []string
	s.withLock(func() {
		switch {
		case sql == target.StatusSQL, strings.Contains(sql, "_fence("), strings.Contains(sql, "_promote("):
			row = []string{"t1", string(s.role), strconv.FormatUint(s.position.Term, 10), "t1", s.position.String(), s.position.String()}
		case strings.Contains(sql, "advisory_lock"):
			row = []string{s.tryLock(parseSlot(sql))}
		case strings.Contains(sql, "end_slot"):
			if c := s.locks[parseSlot(sql)]; c != nil {
				delete(s.locks, parseSlot(sql))
				_ = c.Close()
			}
			row = []string{"t"}
		}
	})
	var values [][]byte
	var fields []pgproto3.FieldDescription
	for _, v := range row {
		values = append(values, []byte(v))
		fields = append(fields, pgproto3.FieldDescription{Name: []byte("c"), DataTypeOID: 25})
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
	s.backend.Send(&pgproto3.DataRow{Values: values})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	return true
}

func (s *fakeSession) tryLock(slot int) string {
	if c := s.locks[slot]; c != nil && c != s.conn {
		return "f"
	}
	s.locks[slot] = s.conn
	return "t"
}

func parseSlot(sql string) int {
	n, _ := strconv.Atoi(strings.Trim(sql[strings.IndexByte(sql, '('):], "()"))
	return n
}

// eventually waits until condition holds and fails the test if that takes
// longer than 10 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
