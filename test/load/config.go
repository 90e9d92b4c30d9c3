package load

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Mode is the way in which a session carries its freshness floor (the minimum
// position that its reads must see) from one connection to the next.
type Mode string

// Session modes.
const (
	ModePlain    Mode = "plain"    // a single connection
	ModeToken    Mode = "token"    // each new connection, to any host, presents the session token
	ModeIdentity Mode = "identity" // concurrent connections to several hosts, linked by nettlewalk.session
)

// Config configures a Run.
type Config struct {
	Customer   topology.CustomerID
	Databases  []topology.GroupID // assigned to sessions round-robin
	Sessions   int
	Modes      []Mode // assigned to sessions round-robin
	Viewers    int    // number of read-only callers that accept stale data
	WriteShare float64
	Pause      time.Duration // mean think time between statements
	Seed       int64
	MaxStale   time.Duration // staleness bound of the Viewers' reads
	// DelayedReadAfter is the pause before the periodic delayed reads, which show
	// whether a replica serves a session after the replication lag has passed. Zero
	// disables delayed reads.
	DelayedReadAfter time.Duration
}
