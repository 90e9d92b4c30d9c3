package load

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Mode tells how a session's floor travels between its connections.
type Mode string

// The modes.
const (
	ModePlain    Mode = "plain"    // one connection
	ModeToken    Mode = "token"    // a new connection at any host takes the token along
	ModeIdentity Mode = "identity" // connections at several hosts at once, by nettlewalk.session
)

// Config describes a run.
type Config struct {
	Customer   topology.CustomerID
	Databases  []topology.GroupID // sessions spread over them
	Sessions   int
	Modes      []Mode // sessions take them in turn
	Viewers    int    // readers that accept stale data
	WriteShare float64
	Pause      time.Duration // mean time between a session's statements
	Seed       int64
	MaxStale   time.Duration // of viewers' reads
	// PastLag makes sessions read now and then that long after their last write,
	// and counts who served the read; 0: they don't.
	PastLag time.Duration
}
