package target

import (
	"fmt"
	"strconv"
	"time"

	ctl "nettlewalk.example/nettlewalk/internal/target"
)

// pausedReceiveLag is the receive lag of a paused replica, long enough that
// the replica receives nothing.
const pausedReceiveLag = 24 * time.Hour

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

// Resume resumes replication after a PAUSE command and clears both lags, as a
// promotion does.
func (l *Line) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedTerm = 0
	l.srv.SetLag(0, 0)
}

// Paused reports whether the server is paused by PAUSE.
func (l *Line) Paused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pausedTerm > 0
}

// Restart closes every connection and ends a pause, as a restart of the process does.
func (l *Line) Restart() {
	l.closeConns()
	l.Resume()
}
