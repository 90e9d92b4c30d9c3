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

// sessionState is what a session set and prepared.
type sessionState struct {
	id       uint64
	settings []setting // in the order of their sequences
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

// replay returns what must be sent on the connection before the statement, so
// that the target has the session's values and the prepared name, and notes it
// on the connection. uses is the prepared name that the statement needs, "": none.
func (s *sessionState) replay(c *share.Conn, uses string) []statement.Statement {
	var batch []statement.Statement
	if c.Owner != s.id {
		if c.Owner != 0 {
			batch = append(batch, own(statement.Reset, ""))
		}
		c.Forget()
		c.Owner = s.id
	}
	for _, v := range s.settings {
		if v.sequence > c.Values {
			batch = append(batch, own(statement.Set, v.text))
			c.Values = v.sequence
		}
	}
	if uses == "" {
		return batch
	}
	text := s.prepared[uses].Text
	old, known := c.Prepared[uses]
	if known && old != text {
		batch = append(batch, statement.Statement{ID: statement.OwnID, Kind: statement.Deallocate, Name: uses})
	}
	if !known || old != text {
		batch = append(batch, own(statement.Prepare, text))
		c.Prepared[uses] = text
	}
	return batch
}

func own(kind statement.Kind, text string) statement.Statement {
	return statement.Statement{ID: statement.OwnID, Kind: kind, Text: text}
}
