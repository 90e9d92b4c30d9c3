package target

import (
	"database/sql/driver"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// ItemsSQL creates the table that the line protocol reads and writes.
const ItemsSQL = "CREATE TABLE items (name TEXT PRIMARY KEY, data TEXT)"

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
