package session

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// State is the session package's section of the state dump.
type State struct {
	Draining    bool           `json:"draining"`
	Connections int            `json:"connections"` // including those in startup
	Sessions    []SessionState `json:"sessions"`
}

// SessionState describes one session in the state dump. Floor is the session's
// floor as a log position, valid if FloorKnown is set. Session is the name that
// the client gave its session in the setting nettlewalk.session.
type SessionState struct {
	Remote      string              `json:"remote"`
	User        string              `json:"user"`
	Customer    topology.CustomerID `json:"customer"`
	Group       topology.GroupID    `json:"group"`
	Transaction string              `json:"transaction"`
	Running     bool                `json:"running"`
	SinceMs     int64               `json:"since_ms"` // time since the last state change
	Batches     uint64              `json:"batches"`
	FloorKnown  bool                `json:"floor_known"`
	Floor       topology.Position   `json:"floor"`
	Session     string              `json:"session,omitempty"`
}

// Dump returns a State that describes all accepted sessions.
func (s *Server) Dump() any {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.connsBySecret))
	for _, c := range s.connsBySecret {
		conns = append(conns, c)
	}
	state := State{Draining: s.drainStarted, Connections: len(s.openConns)}
	s.mu.Unlock()
	now := time.Now()
	for _, c := range conns {
		state.Sessions = append(state.Sessions, c.state(now))
	}
	return state
}
