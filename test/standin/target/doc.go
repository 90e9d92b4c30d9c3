// Package target is a stand-in for one database server of a group. It speaks
// the PostgreSQL protocol, runs SQL on an embedded SQLite database, keeps a
// log of committed writes and replicates it asynchronously to its peers.
//
// A server is primary, replica or fenced, as package internal/target says.
// The log and the term are durable and survive a kill of the process; the
// SQLite database is rebuilt from the log. A server that restarts is a replica
// of whom it followed, or fenced, never a primary.
package target

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Config describes one server.
type Config struct {
	ID         topology.TargetID
	Listen     string                       // PostgreSQL protocol, default a free loopback port
	PeerListen string                       // replication, default a free loopback port
	Peers      map[topology.TargetID]string // replication addresses of the others
	// Connections is the hard limit, default 16.
	Connections int
	ConnectCost time.Duration // delay of each new connection
	ReceiveLag  time.Duration // age at which a replica receives an entry
	ApplyLag    time.Duration // further delay until its readers see it
	// Primary and Term hold for the first start in Dir only.
	Primary topology.TargetID
	Term    uint64
	Dir     string // holds the log, the term and the database
	SeedSQL string // statements run before the first log entry
}

const (
	defaultConnections = 16
	loopbackAnyPort    = "127.0.0.1:0"
)

func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = loopbackAnyPort
	}
	if c.PeerListen == "" {
		c.PeerListen = loopbackAnyPort
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.Term == 0 {
		c.Term = 1
	}
	return c
}
