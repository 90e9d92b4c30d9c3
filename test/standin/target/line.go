package target

import (
	"bufio"
	"context"
	"database/sql/driver"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ItemsSQL creates the table that the line protocol reads and writes.
const ItemsSQL = "CREATE TABLE items (name TEXT PRIMARY KEY, data TEXT)"

// LineConfig configures the line protocol of the users' platform, which a
// server can offer in addition to the PostgreSQL protocol.
type LineConfig struct {
	Group          string // group name that a START message must carry
	MaxConnections int    // connection limit; 0 means 16
	// Received reports whether enough replicas have received a position. A commit
	// is acknowledged only after that. If Received is nil, commits are
	// acknowledged immediately.
	Received func(topology.Position) bool
	// Demoted makes the server a replica of the present primary, after a DEMOTE of a
	// primary of a lower term. If Demoted is nil, DEMOTE has no effect.
	Demoted func()
	// KnowsCustomer reports whether the name in a START message may be given. Others are
	// refused. If it is nil, any name may be given.
	KnowsCustomer func(name string) bool
	// IsKey reports whether a word is the key of a customer, which no target may see. Nil:
	// there are no keys.
	IsKey func(word string) bool
}

// Line serves the line protocol on the server's database, log and role.
type Line struct {
	srv      *Server
	cfg      LineConfig
	listener net.Listener

	mu         sync.Mutex
	conns      map[net.Conn]bool
	pausedTerm uint64
	runCounts  map[string]int             // executions by request ID
	customers  map[string]map[string]bool // names given at START of the connections that ran a request ID
	refused    []string                   // START messages with an unknown name
	keysSeen   []string                   // messages that contained a key
	open       map[string]int             // open connections by the customer named at START
	overLimit  int                        // connections that were refused because of the limit
}

// pausedReceiveLag is the receive lag of a paused replica, long enough that
// the replica receives nothing.
const pausedReceiveLag = 24 * time.Hour

// ServeLine starts the line protocol on a free loopback port. Line.Close drops
// its connections as a crash would.
func (s *Server) ServeLine(cfg LineConfig) (*Line, error) {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	l := &Line{srv: s, cfg: cfg, listener: listener, conns: map[net.Conn]bool{}, runCounts: map[string]int{}, customers: map[string]map[string]bool{}, open: map[string]int{}}
	go l.acceptLoop()
	return l, nil
}

// Addr returns the listen address of the line protocol.
func (l *Line) Addr() string { return l.listener.Addr().String() }

// Runs returns how often the statement of each request ID was executed.
// Statements refused with READONLY don't count.
func (l *Line) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string]int{}
	for id, n := range l.runCounts {
		runs[id] = n
	}
	return runs
}

// CustomersOf returns for which customers a request ID was executed, as named at the START
// of the connections, in ascending order.
func (l *Line) CustomersOf(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.customers[id]))
}

// Violations returns the messages that named an unknown customer or contained a key.
func (l *Line) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Concat(l.refused, l.keysSeen)
}

// OpenOf returns how many connections of a customer are open.
func (l *Line) OpenOf(customer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[customer]
}

// RefusedAboveLimit returns how many connections were refused because of the limit.
func (l *Line) RefusedAboveLimit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overLimit
}

// countOpen changes the number of open connections of a customer.
func (l *Line) countOpen(customer string, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[customer] += by
}

// noteKeys records a message that contains a key.
func (l *Line) noteKeys(message string) {
	if l.cfg.IsKey == nil || !slices.ContainsFunc(strings.Fields(message), l.cfg.IsKey) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keysSeen = append(l.keysSeen, message)
}

// Close closes the listener and every connection.
func (l *Line) Close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

// Resume resumes replication after a PAUSE command and clears both lags, as a
// promotion does.
func (l *Line) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedTerm = 0
	l.srv.SetLag(0, 0)
}

func (l *Line) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[conn] = true
		overLimit := len(l.conns) > l.cfg.MaxConnections
		if overLimit {
			l.overLimit++
		}
		l.mu.Unlock()
		go func() {
			if overLimit {
				fmt.Fprintf(conn, "ERROR TOOMANY -\r\n")
			} else {
				l.serveConn(conn)
			}
			conn.Close()
			l.mu.Lock()
			delete(l.conns, conn)
			l.mu.Unlock()
		}()
	}
}

// lineSession is one connection of the line protocol.
type lineSession struct {
	*session
	line     *Line
	customer string // named at START
	reader   *bufio.Reader
	prepared map[string]string // statement name to statement text
	// generation identifies the database that the session has open. The session
	// ends when that database is replaced.
	generation int
}

func (l *Line) serveConn(conn net.Conn) {
	ctx, cancel := context.WithCancel(l.srv.ctx)
	defer cancel()
	s := &lineSession{line: l, reader: bufio.NewReader(conn), prepared: map[string]string{}}
	s.session = &session{srv: l.srv, conn: conn, ctx: ctx, cancel: cancel}
	startLine, err := s.readLine()
	if err != nil {
		return
	}
	fields := strings.Fields(startLine)
	if len(fields) < 4 || fields[0] != "START" || fields[1] != l.cfg.Group || fields[3] != string(l.srv.cfg.ID) {
		fmt.Fprintf(conn, "ERROR MISROUTED -\r\n")
		return
	}
	s.customer = fields[2]
	if l.cfg.KnowsCustomer != nil && !l.cfg.KnowsCustomer(s.customer) {
		l.mu.Lock()
		l.refused = append(l.refused, startLine)
		l.mu.Unlock()
		fmt.Fprintf(conn, "ERROR MISROUTED -\r\n")
		return
	}
	l.countOpen(s.customer, 1)
	defer l.countOpen(s.customer, -1)
	s.generation = l.srv.generation() // read before openDatabase, so that a rebuild in between is noticed
	if s.openDatabase() != nil {
		return
	}
	defer s.close()
	fmt.Fprintf(conn, "READY I %s\r\n", s.positionText())
	for {
		line, err := s.readLine()
		if err != nil {
			return
		}
		if l.srv.generation() != s.generation {
			return
		}
		out := s.handleQuery(strings.TrimPrefix(line, "QUERY "))
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
	}
}

func (s *lineSession) readLine() (string, error) {
	line, err := s.reader.ReadString('\n')
	s.line.noteKeys(line)
	return strings.TrimSuffix(line, "\r\n"), err
}

func (s *lineSession) positionText() string {
	p := s.srv.node.status().Applied
	return fmt.Sprintf("%d.%d", p.Term, p.Offset)
}

// handleQuery runs one query and returns all of its response messages.
func (s *lineSession) handleQuery(query string) string {
	id, text, _ := strings.Cut(query, " ")
	s.mu.Lock()
	body, err := s.runQuery(id, text)
	status := s.txStatus()
	s.mu.Unlock()
	if err != "" {
		body = "ERROR " + err + " -\r\n"
	}
	return body + fmt.Sprintf("READY %c %s\r\n", status, s.positionText())
}

// runQuery returns the response messages, or an error code if the query
// failed.
func (s *lineSession) runQuery(id, text string) (body, code string) {
	if position, rest, ok := strings.Cut(strings.TrimPrefix(text, "AFTER "), " "); ok && strings.HasPrefix(text, "AFTER ") {
		if !s.hasApplied(position) {
			return "", "LAGGING"
		}
		text = rest
	}
	command, rest, _ := strings.Cut(text, " ")
	if s.tx.failed && command != "ROLLBACK" && command != "COMMIT" {
		return "", "MALFORMED"
	}
	switch command {
	case "BEGIN":
		if _, isPrimary := s.srv.node.writable(0); !isPrimary && rest != "READ" {
			return "", "READONLY"
		}
		s.begin(rest == "READ")
	case "ROLLBACK":
		s.rollback()
	case "RESET":
		clear(s.prepared)
	case "SET":
	case "PREPARE":
		name, stmtText, _ := strings.Cut(rest, " ")
		s.prepared[name] = stmtText
	case "DEALLOCATE":
		delete(s.prepared, rest)
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return s.runControlCommand(command, rest)
	default:
		return s.runDataStatement(id, command, rest)
	}
	return "COMPLETE -\r\n", ""
}

// hasApplied reports whether the entry at the position is applied, and so
// visible to readers.
func (s *lineSession) hasApplied(position string) bool {
	term, offset, _ := strings.Cut(position, ".")
	wantTerm, _ := strconv.ParseUint(term, 10, 64)
	wantOffset, _ := strconv.ParseUint(offset, 10, 64)
	s.srv.node.mu.Lock()
	defer s.srv.node.mu.Unlock()
	return s.srv.node.applied >= wantOffset && s.srv.node.log.positionAt(wantOffset).Term == wantTerm
}

// runDataStatement runs a statement whose response carries a signature: a
// read, write or commit.
func (s *lineSession) runDataStatement(id, command, rest string) (body, code string) {
	if command == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		stmtText, ok := s.prepared[name]
		if !ok {
			return "", "UNKNOWN"
		}
		command, _, _ = strings.Cut(stmtText, " ")
		rest = arguments
	}
	defer func() {
		if code == "READONLY" { // refused before execution
			return
		}
		s.line.mu.Lock()
		s.line.runCounts[id]++
		if s.line.customers[id] == nil {
			s.line.customers[id] = map[string]bool{}
		}
		s.line.customers[id][s.customer] = true
		s.line.mu.Unlock()
	}()
	name, data, _ := strings.Cut(rest, " ")
	switch command {
	case "READ":
		value, err := s.readItem(name)
		if err != nil {
			return "", "FAILED"
		}
		return "ROW " + value + "\r\nCOMPLETE " + s.signature(id) + "\r\n", ""
	case "WRITE":
		if code := s.writeItem(name, data); code != "" {
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

// signature returns the token that names the executing server and the request
// ID.
func (s *lineSession) signature(id string) string { return string(s.srv.cfg.ID) + "." + id }

func (s *lineSession) writeItem(name, data string) (code string) {
	if err := s.beginWrite(s.ctx); err != nil {
		s.markFailed()
		return "READONLY"
	}
	st := Statement{SQL: "INSERT OR REPLACE INTO items VALUES ($1, $2)", Args: []Value{textValue(name), textValue(data)}}
	if err := execOne(s.db, st); err != nil {
		s.markFailed()
		return "FAILED"
	}
	s.tx.write.statements = append(s.tx.write.statements, st)
	if s.tx.explicit {
		return ""
	}
	return s.commitAndWait()
}

// commitAndWait commits and waits until enough replicas have received the
// commit.
func (s *lineSession) commitAndWait() (code string) {
	ok, err := s.commit()
	if err != nil || !ok {
		return "READONLY"
	}
	position := s.takePosition()
	for s.line.cfg.Received != nil && !position.IsZero() && !s.line.cfg.Received(position) {
		if _, isPrimary := s.srv.node.writable(position.Term); !isPrimary || s.ctx.Err() != nil {
			s.conn.Close() // the outcome is unknown, so the client gets no response
			return "FAILED"
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}

// readItem returns the data of one item, or "-" if the item doesn't exist.
func (s *lineSession) readItem(name string) (string, error) {
	st, err := s.db.Prepare(translateToSQLite("SELECT data FROM items WHERE name = $1"))
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

// runControlCommand runs STATUS, PAUSE, RESUME or DEMOTE and returns the
// server's status.
func (s *lineSession) runControlCommand(command, argument string) (body, code string) {
	term, _ := strconv.ParseUint(argument, 10, 64)
	lineServer := s.line
	status := s.srv.node.status()
	if command == "DEMOTE" && status.Role == ctl.Primary && term > status.Term && lineServer.cfg.Demoted != nil {
		lineServer.cfg.Demoted()
	}
	lineServer.mu.Lock()
	defer lineServer.mu.Unlock()
	switch command {
	case "PAUSE":
		if term <= status.Term {
			return "", "MALFORMED"
		}
		lineServer.pausedTerm = term
		lineServer.srv.SetLag(pausedReceiveLag, 0)
	case "RESUME":
		lineServer.pausedTerm = 0
		lineServer.srv.SetLag(0, 0)
	}
	status = s.srv.node.status() // read again after the pause took effect, to include entries received until then
	role := "replica"
	if status.Role == ctl.Primary {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %d.%d %d 0 0 %d\r\n", role, status.Term, status.Received.Term, status.Received.Offset, lineServer.pausedTerm, len(lineServer.conns))
	return row + "COMPLETE -\r\n", ""
}

// ConfirmsPosition reports whether the server confirms a log position to the primary of the
// position's term. The server must have the entry and still be in that term:
// after a change of primary, the entry may be truncated from the server's log
// at any time.
func (s *Server) ConfirmsPosition(p topology.Position) bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.persisted.Term == p.Term && s.node.log.positionAt(p.Offset) == p
}

// Promote makes next the primary of a new term and makes the others follow it,
// as the platform's promotion call does. Entries that next lacks are rolled
// back on the others.
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

// Follow makes a server that was primary follow the primary of a later term.
func Follow(s, primary *Server) error {
	_, err := s.node.follow(primary.Status().Term, primary.cfg.ID)
	return err
}
