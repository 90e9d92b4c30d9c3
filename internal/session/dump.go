package session

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// State is the slice's part of the state dump.
type State struct {
	Draining    bool           `json:"draining"`
	Connections int            `json:"connections"` // those at start-up included
	Sessions    []SessionState `json:"sessions"`
}

// SessionState is one session in the state dump.
type SessionState struct {
	Remote      string              `json:"remote"`
	User        string              `json:"user"`
	Customer    topology.CustomerID `json:"customer"`
	Group       topology.GroupID    `json:"group"`
	Transaction string              `json:"transaction"`
	Running     bool                `json:"running"`
	SinceMs     int64               `json:"since_ms"` // in this state
	Batches     uint64              `json:"batches"`
	FloorKnown  bool                `json:"floor_known"`
	Floor       topology.Position   `json:"floor"`
	Session     string              `json:"session,omitempty"`
}

// Dump returns the state of all sessions as State.
func (s *Server) Dump() any {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		conns = append(conns, c)
	}
	state := State{Draining: s.drained, Connections: len(s.open)}
	s.mu.Unlock()
	now := time.Now()
	for _, c := range conns {
		state.Sessions = append(state.Sessions, c.state(now))
	}
	return state
}
