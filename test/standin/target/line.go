package target

import (
	"bufio"
	"context"
	"database/sql/driver"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ItemsSQL makes the table that the line protocol reads and writes.
const ItemsSQL = "CREATE TABLE items (name TEXT PRIMARY KEY, data TEXT)"

// LineConfig describes a server's second face, the users' line protocol.
type LineConfig struct {
	Group       string // name that a session must start with
	Connections int    // hard limit, default 16
	// Received tells whether enough replicas have a position; a commit is
	// acknowledged then. nil: at once.
	Received func(topology.Position) bool
}

// Line serves the line protocol on a server's data, log and role.
type Line struct {
	srv      *Server
	cfg      LineConfig
	listener net.Listener

	mu         sync.Mutex
	conns      map[net.Conn]bool
	pausedTerm uint64
	ran        map[string]int // runs of each request id
}

// pausedLag is the receive lag of a paused replica.
const pausedLag = 24 * time.Hour

// ServeLine opens the line protocol. Close ends it like a crash.
func (s *Server) ServeLine(cfg LineConfig) (*Line, error) {
	if cfg.Connections == 0 {
		cfg.Connections = defaultConnections
	}
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	l := &Line{srv: s, cfg: cfg, listener: listener, conns: map[net.Conn]bool{}, ran: map[string]int{}}
	go l.accept()
	return l, nil
}

// Addr returns the address of the line protocol.
func (l *Line) Addr() string { return l.listener.Addr().String() }

// Runs returns how often each caller's statement ran, refusals left out.
func (l *Line) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string]int{}
	for id, n := range l.ran {
		runs[id] = n
	}
	return runs
}

// Close ends the listener and every connection.
func (l *Line) Close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// Unpause ends a pause, as a promotion does.
func (l *Line) Unpause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedTerm = 0
	l.srv.SetLag(0, 0)
}

func (l *Line) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[conn] = true
		full := len(l.conns) > l.cfg.Connections
		l.mu.Unlock()
		go func() {
			if full {
				fmt.Fprintf(conn, "ERROR TOOMANY -\r\n")
			} else {
				l.serve(conn)
			}
			conn.Close()
			l.mu.Lock()
			delete(l.conns, conn)
			l.mu.Unlock()
		}()
	}
}

// lineSession is one connection.
type lineSession struct {
	*session
	line     *Line
	in       *bufio.Reader
	prepared map[string]string // name to mode and shape
	// generation of the database that the session has open. It ends with it.
	generation int
}

func (l *Line) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(l.srv.ctx)
	defer cancel()
	s := &lineSession{line: l, in: bufio.NewReader(conn), prepared: map[string]string{}}
	s.session = &session{srv: l.srv, conn: conn, ctx: ctx, cancel: cancel}
	start, err := s.read()
	if err != nil {
		return
	}
	fields := strings.Fields(start)
	if len(fields) < 4 || fields[0] != "START" || fields[1] != l.cfg.Group || fields[3] != string(l.srv.cfg.ID) {
		fmt.Fprintf(conn, "ERROR MISROUTED -\r\n")
		return
	}
	s.generation = l.srv.generation() // before it is opened
	if s.openDatabase() != nil {
		return
	}
	defer s.close()
	fmt.Fprintf(conn, "READY I %s\r\n", s.positionText())
	for {
		line, err := s.read()
		if err != nil {
			return
		}
		if l.srv.generation() != s.generation {
			return
		}
		out := s.answer(strings.TrimPrefix(line, "QUERY "))
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
	}
}

func (s *lineSession) read() (string, error) {
	line, err := s.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (s *lineSession) positionText() string {
	p := s.srv.node.status().Applied
	return fmt.Sprintf("%d.%d", p.Term, p.Offset)
}

// answer runs one query and returns all of its messages.
func (s *lineSession) answer(query string) string {
	id, text, _ := strings.Cut(query, " ")
	s.mu.Lock()
	body, err := s.run(id, text)
	status := s.txStatus()
	s.mu.Unlock()
	if err != "" {
		body = "ERROR " + err + " -\r\n"
	}
	return body + fmt.Sprintf("READY %c %s\r\n", status, s.positionText())
}

// run returns the messages of a success, or the code of a failure.
func (s *lineSession) run(id, text string) (body, code string) {
	if after, rest, ok := strings.Cut(strings.TrimPrefix(text, "AFTER "), " "); ok && strings.HasPrefix(text, "AFTER ") {
		if !s.has(after) {
			return "", "LAGGING"
		}
		text = rest
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.tx.failed && word != "ROLLBACK" && word != "COMMIT" {
		return "", "MALFORMED"
	}
	switch word {
	case "BEGIN":
		if _, leads := s.srv.node.writable(0); !leads && rest != "READ" {
			return "", "READONLY"
		}
		s.begin(rest == "READ")
	case "ROLLBACK":
		s.rollback()
	case "RESET":
		clear(s.prepared)
	case "SET":
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "DEALLOCATE":
		delete(s.prepared, rest)
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return s.control(word, rest)
	default:
		return s.runData(id, word, rest)
	}
	return "COMPLETE -\r\n", ""
}

// has tells whether the log that readers see has a position.
func (s *lineSession) has(position string) bool {
	term, offset, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	o, _ := strconv.ParseUint(offset, 10, 64)
	s.srv.node.mu.Lock()
	defer s.srv.node.mu.Unlock()
	return s.srv.node.applied >= o && s.srv.node.log.at(o).Term == t
}

// runData runs what a caller signs for: reads, writes and commits.
func (s *lineSession) runData(id, word, rest string) (body, code string) {
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return "", "UNKNOWN"
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	defer func() {
		if code == "READONLY" { // refused; nothing ran
			return
		}
		s.line.mu.Lock()
		s.line.ran[id]++
		s.line.mu.Unlock()
	}()
	name, data, _ := strings.Cut(rest, " ")
	switch word {
	case "READ":
		value, err := s.item(name)
		if err != nil {
			return "", "FAILED"
		}
		return "ROW " + value + "\r\nCOMPLETE " + s.signature(id) + "\r\n", ""
	case "WRITE":
		if code := s.write(name, data); code != "" {
			return "", code
		}
	case "COMMIT":
		if code := s.commitAndWait(); code != "" {
			return "", code
		}
	default:
		return "", "MALFORMED"
	}
	return "COMPLETE " + s.signature(id) + "\r\n", ""
}

func (s *lineSession) signature(id string) string { return string(s.srv.cfg.ID) + "." + id }

func (s *lineSession) write(name, data string) (code string) {
	if err := s.beginWrite(s.ctx); err != nil {
		s.fail()
		return "READONLY"
	}
	st := Statement{SQL: "INSERT OR REPLACE INTO items VALUES ($1, $2)", Args: []Value{textValue(name), textValue(data)}}
	if err := execOne(s.db, st); err != nil {
		s.fail()
		return "FAILED"
	}
	s.tx.write.statements = append(s.tx.write.statements, st)
	if s.tx.explicit {
		return ""
	}
	return s.commitAndWait()
}

// commitAndWait commits and waits until enough replicas have the commit.
func (s *lineSession) commitAndWait() (code string) {
	ok, err := s.commit()
	if err != nil || !ok {
		return "READONLY"
	}
	position := s.takePosition()
	for s.line.cfg.Received != nil && !position.IsZero() && !s.line.cfg.Received(position) {
		if _, leads := s.srv.node.writable(position.Term); !leads || s.ctx.Err() != nil {
			s.conn.Close() // the outcome is unknown: no answer
			return "FAILED"
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}

// item reads one item's data.
func (s *lineSession) item(name string) (string, error) {
	st, err := s.db.Prepare(translate("SELECT data FROM items WHERE name = $1"))
	if err != nil {
		return "", err
	}
	defer st.Close()
	rows, err := st.(driver.StmtQueryContext).QueryContext(s.ctx, namedArgs([]Value{textValue(name)}))
	if err != nil {
		return "", err
	}
	defer rows.Close()
	dest := make([]driver.Value, 1)
	if err := rows.Next(dest); err == io.EOF {
		return "-", nil
	} else if err != nil {
		return "", err
	}
	return fmt.Sprint(dest[0]), nil
}

// control runs an order and returns the server's status.
func (s *lineSession) control(word, argument string) (body, code string) {
	term, _ := strconv.ParseUint(argument, 10, 64)
	l := s.line
	status := s.srv.node.status()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch word {
	case "PAUSE":
		if term <= status.Term {
			return "", "MALFORMED"
		}
		l.pausedTerm = term
		l.srv.SetLag(pausedLag, 0)
	case "RESUME":
		l.pausedTerm = 0
		l.srv.SetLag(0, 0)
	}
	status = s.srv.node.status() // what a pause has stopped is counted, too
	role := "replica"
	if status.Role == ctl.Primary {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %d.%d %d 0 0 %d\r\n", role, status.Term, status.Received.Term, status.Received.Offset, l.pausedTerm, len(l.conns))
	return row + "COMPLETE -\r\n", ""
}

// Has tells whether the server confirms the entry of that position to its
// term's primary: it has it, and follows that primary. What is in the log of a
// server that follows another one may be dropped at any moment.
func (s *Server) Has(p topology.Position) bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.meta.Term == p.Term && s.node.log.at(p.Offset) == p
}

// Promote makes the server the primary of the next term, as the users' platform
// does on a call: whatever the others have beyond it is rolled back.
func Promote(ctx context.Context, next *Server, others []*Server) error {
	term := next.Status().Term
	for _, s := range others {
		term = max(term, s.Status().Term)
	}
	term++
	if _, err := next.node.fence(term); err != nil {
		return err
	}
	if _, err := next.node.promote(ctx, term); err != nil {
		return err
	}
	for _, s := range others {
		if _, err := s.node.follow(term, next.cfg.ID); err != nil {
			return err
		}
	}
	return nil
}
