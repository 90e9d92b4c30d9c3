package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
)

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

// readLine returns the next message, which ends with CR LF.
func (s *lineSession) readLine() (string, error) {
	message, err := "", error(nil)
	for err == nil && !strings.HasSuffix(message, "\r\n") {
		var piece string
		piece, err = s.reader.ReadString('\n')
		message += piece
	}
	s.line.noteKeys(message)
	return strings.TrimSuffix(message, "\r\n"), err
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
