package relay

import (
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
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

// replay returns the statements that must precede the caller's statement on the
// connection, so that the target has the session's values and the prepared
// statement, and records them on the connection. preparedName is the prepared
// statement that the caller's statement runs; "": none.
func (s *sessionState) replay(c *share.Conn, preparedName string) []statement.Statement {
	var batch []statement.Statement
	if c.SessionID != s.id {
		if c.SessionID != 0 {
			batch = append(batch, proxyStatement(statement.Reset, ""))
		}
		c.ClearSession()
		c.SessionID = s.id
	}
	for _, v := range s.settings {
		if v.sequence > c.SettingSequence {
			batch = append(batch, proxyStatement(statement.Set, v.text))
			c.SettingSequence = v.sequence
		}
	}
	if preparedName == "" {
		return batch
	}
	text := s.prepared[preparedName].Text
	old, known := c.Prepared[preparedName]
	if known && old != text {
		batch = append(batch, statement.Statement{ID: statement.ProxyRequestID, Kind: statement.Deallocate, Name: preparedName})
	}
	if !known || old != text {
		batch = append(batch, proxyStatement(statement.Prepare, text))
		c.Prepared[preparedName] = text
	}
	return batch
}

func proxyStatement(kind statement.Kind, text string) statement.Statement {
	return statement.Statement{ID: statement.ProxyRequestID, Kind: kind, Text: text}
}
