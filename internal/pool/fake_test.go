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

// fakeTarget speaks enough of the protocol for the pool's tests:
//
//	INSERT    commits and reports a position, 25006 unless primary
//	BEGIN, COMMIT, ROLLBACK
//	ROWS n s  answers n rows of s bytes
//	ECHO x    answers x, sometimes late
//	HOLD      answers once the test lets it
//	FAIL      fails with 22012
//	COPY      starts a copy
type fakeTarget struct {
	t    *testing.T
	l    net.Listener
	hold chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]uint32
	locks    map[int]net.Conn
	limit    int
	most     int // connections at once
	opened   int
	role     target.Role
	position topology.Position
	ran      map[string]int // statements that ran, by text
	parsed   int
	canceled int
	wg       sync.WaitGroup
}

func startFake(t *testing.T) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f := &fakeTarget{
		t: t, l: l, hold: make(chan struct{}), conns: map[net.Conn]uint32{}, locks: map[int]net.Conn{},
		limit: 16, role: target.Primary, position: topology.Position{Term: 1}, ran: map[string]int{},
	}
	f.wg.Add(1)
	go f.accept()
	return f
}

func (f *fakeTarget) stop() {
	_ = f.l.Close()
	f.mu.Lock()
	for c := range f.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *fakeTarget) topology() topology.Target {
	return topology.Target{ID: "t1", Group: "g1", Addr: f.l.Addr().String(), Connections: 16, Slots: 2}
}

func (f *fakeTarget) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTarget) get(read func() int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return read()
}

func (f *fakeTarget) accept() {
	defer f.wg.Done()
	for {
		conn, err := f.l.Accept()
		if err != nil {
			return
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.serve(conn)
			f.set(func() {
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

// fakeSession is one connection of a fakeTarget.
type fakeSession struct {
	*fakeTarget
	conn       net.Conn
	b          *pgproto3.Backend
	tx         byte
	wrote      bool
	statements map[string]string
	portal     string
}

func (f *fakeTarget) serve(conn net.Conn) {
	s := &fakeSession{fakeTarget: f, conn: conn, b: pgproto3.NewBackend(conn, conn), tx: 'I', statements: map[string]string{}}
	startup, err := s.b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := startup.(*pgproto3.CancelRequest); ok {
		f.set(func() { f.canceled++ })
		return
	}
	full := false
	f.set(func() {
		full = len(f.conns) >= f.limit
		f.opened++
		if !full {
			f.conns[conn] = uint32(f.opened)
			f.most = max(f.most, len(f.conns))
		}
	})
	if full {
		s.b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: target.StateTooManyConnections, Message: "full"})
		_ = s.b.Flush()
		return
	}
	s.b.Send(&pgproto3.AuthenticationOk{})
	s.b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	s.b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for s.b.Flush() == nil && s.one() {
	}
}

func (s *fakeSession) one() bool {
	msg, err := s.b.Receive()
	if err != nil {
		return false
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.run(m.String, true)
		s.ready()
	case *pgproto3.Parse:
		s.set(func() { s.parsed++ })
		if _, exists := s.statements[m.Name]; exists && m.Name != "" {
			return s.fail("42P05")
		}
		s.statements[m.Name] = m.Query
		s.b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.statements[m.PreparedStatement]
		if !ok {
			return s.fail("26000")
		}
		s.portal = sql
		s.b.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			s.b.Send(&pgproto3.ParameterDescription{})
		}
		s.b.Send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		if !s.run(s.portal, false) {
			return s.skip()
		}
	case *pgproto3.Close:
		delete(s.statements, m.Name)
		s.b.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.ready()
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (s *fakeSession) ready() {
	if s.tx == 'I' && s.wrote {
		s.wrote = false
		s.set(func() {
			s.position.Offset++
			s.b.Send(&pgproto3.ParameterStatus{Name: target.PositionParameter, Value: s.position.String()})
		})
	}
	s.b.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx})
}

func (s *fakeSession) fail(state string) bool {
	s.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "fake"})
	return s.skip()
}

// skip drops messages up to the Sync after an error.
func (s *fakeSession) skip() bool {
	for {
		msg, err := s.b.Receive()
		if err != nil {
			return false
		}
		if _, ok := msg.(*pgproto3.Sync); ok {
			s.ready()
			return true
		}
	}
}

func (s *fakeSession) run(sql string, simple bool) bool {
	s.set(func() { s.ran[sql]++ })
	word, rest, _ := strings.Cut(sql, " ")
	switch word {
	case "SELECT":
		return s.control(sql)
	case "INSERT":
		if s.get(func() int { return map[bool]int{true: 1}[s.role == target.Primary] }) == 0 {
			s.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: target.StateNotPrimary, Message: "read only"})
			return false
		}
		s.wrote = true
	case "BEGIN":
		s.tx = 'T'
	case "COMMIT":
		s.tx = 'I'
	case "ROLLBACK":
		s.tx, s.wrote = 'I', false
	case "ROWS":
		s.rows(rest)
	case "ECHO":
		time.Sleep(time.Duration(len(rest)%4) * time.Millisecond)
		s.b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(rest)}})
	case "HOLD":
		<-s.hold
	case "FAIL":
		s.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "22012", Message: "fake"})
		return false
	case "COPY":
		s.b.Send(&pgproto3.CopyInResponse{})
		return true
	}
	s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	return true
}

func (s *fakeSession) rows(args string) {
	var n, size int
	_, _ = fmt.Sscan(args, &n, &size)
	value := make([]byte, size)
	for range n {
		s.b.Send(&pgproto3.DataRow{Values: [][]byte{value}})
		if s.b.Flush() != nil {
			return
		}
	}
}

// control answers the statements of package target.
func (s *fakeSession) control(sql string) bool {
	var row []string
	s.set(func() {
		switch {
		case sql == target.StatusSQL, strings.Contains(sql, "_fence("), strings.Contains(sql, "_promote("):
			row = []string{"t1", string(s.role), strconv.FormatUint(s.position.Term, 10), "t1", s.position.String(), s.position.String()}
		case strings.Contains(sql, "advisory_lock"):
			row = []string{s.lock(number(sql))}
		case strings.Contains(sql, "end_slot"):
			if c := s.locks[number(sql)]; c != nil {
				delete(s.locks, number(sql))
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
	s.b.Send(&pgproto3.RowDescription{Fields: fields})
	s.b.Send(&pgproto3.DataRow{Values: values})
	s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	return true
}

func (s *fakeSession) lock(slot int) string {
	if c := s.locks[slot]; c != nil && c != s.conn {
		return "f"
	}
	s.locks[slot] = s.conn
	return "t"
}

func number(sql string) int {
	n, _ := strconv.Atoi(strings.Trim(sql[strings.IndexByte(sql, '('):], "()"))
	return n
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
