package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// setting is one session value as the caller set it.
type setting struct {
	name     string
	text     string
	sequence int
}

// sessionState is the state that a caller set and prepared in its session.
type sessionState struct {
	id       uint64
	settings []setting // in ascending sequence
	sequence int
	prepared map[string]statement.Statement
}

func (s *sessionState) set(st *statement.Statement) {
	for i, old := range s.settings {
		if old.name == st.Name {
			s.settings = append(s.settings[:i], s.settings[i+1:]...)
			break
		}
	}
	s.sequence++
	s.settings = append(s.settings, setting{name: st.Name, text: st.Text, sequence: s.sequence})
}

// missingOn returns the statements that give the connection the session's values and the
// prepared statement. preparedName is the prepared statement that the caller's statement
// runs; "": none.
func (s *sessionState) missingOn(c *share.Conn, preparedName string) []statement.Statement {
	var batch []statement.Statement
	otherSession := c.SessionID != s.id
	if otherSession && c.MayKeepState() {
		batch = append(batch, proxyStatement(statement.Reset, ""))
	}
	for _, v := range s.settings {
		if otherSession || v.sequence > c.SettingSequence {
			batch = append(batch, proxyStatement(statement.Set, v.text))
		}
	}
	if preparedName == "" {
		return batch
	}
	text := s.prepared[preparedName].Text
	old, known := c.Prepared[preparedName]
	known = known && !otherSession
	if known && old != text {
		batch = append(batch, statement.Statement{ID: statement.ProxyRequestID, Kind: statement.Deallocate, Name: preparedName})
	}
	if !known || old != text {
		batch = append(batch, proxyStatement(statement.Prepare, text))
	}
	return batch
}

// recordApplied records on the connection that the target has accepted what was missing.
func (s *sessionState) recordApplied(c *share.Conn, preparedName string) {
	if c.SessionID != s.id {
		c.ClearSession()
		c.SessionID = s.id
	}
	if n := len(s.settings); n > 0 {
		c.SettingSequence = s.settings[n-1].sequence
	}
	if preparedName != "" {
		c.Prepared[preparedName] = s.prepared[preparedName].Text
	}
}

func proxyStatement(kind statement.Kind, text string) statement.Statement {
	return statement.Statement{ID: statement.ProxyRequestID, Kind: kind, Text: text}
}

// errStateRefused reports that a target refused a session value or prepared statement.
// The connection is usable; which state the target keeps on it is unknown.
var errStateRefused = errors.New("the target refused the session state")

// applyState gives the connection the session state that it lacks. Nothing that a caller
// sent may be in flight before the target has accepted the state: it would run without it.
// statements are sent along and may have run even if the error is errStateRefused. The
// answers are those to the state and then theirs, none if nothing was sent. Any other error
// is a connection that must be closed.
func (r *request) applyState(id topology.TargetID, conn *share.Conn, deadline time.Time, statements ...statement.Statement) ([]statement.Answer, error) {
	state := &r.session.state
	missing := state.missingOn(conn, r.preparedName)
	if len(missing)+len(statements) == 0 {
		return nil, nil
	}
	answers, err := conn.Exchange(deadline, append(missing, statements...)...)
	if len(statements) == 0 {
		r.recordStateExchange(conn)
	}
	if err != nil {
		r.noteBroken(id, err)
		return nil, err
	}
	for i := range missing {
		if !answers[i].OK() {
			conn.ForgetSession()
			r.noteStateRefused(id, &answers[i])
			return answers, errStateRefused
		}
	}
	state.recordApplied(conn, r.preparedName)
	return answers, nil
}

// endsIdle reports whether no transaction is open after the last of the answers.
func endsIdle(answers []statement.Answer) bool {
	return len(answers) > 0 && answers[len(answers)-1].State == statement.Idle
}

// noteBroken records a connection that broke before the caller's statement was sent.
func (r *request) noteBroken(id topology.TargetID, err error) {
	var broken *statement.ConnError
	if !errors.As(err, &broken) || broken.Sent {
		r.group.NoteFailedAnswer(id)
	}
	r.group.NoteFailing(id)
	r.addStep(id, "connection broke before the statement was sent: "+err.Error())
}

func (r *request) noteStateRefused(id topology.TargetID, a *statement.Answer) {
	if a.Code == statement.RunFailed {
		r.group.NoteFailedAnswer(id)
	}
	r.addStep(id, "session state refused: "+a.Code.String())
	r.session.log.Info("target refused session state", "request", r.st.ID, "target", id, "code", a.Code.String(), "detail", a.Detail)
}
