// Package target is a stand-in for one database server of a group. It speaks
// the PostgreSQL protocol, runs SQL on an embedded SQLite database, keeps a
// log of committed writes and replicates the log asynchronously to its peers.
//
// A server is primary, replica or fenced, as defined in package
// internal/target. The log and the term are durable and survive a kill of the
// process; the SQLite database is rebuilt from the log. After a restart, a
// replica still follows the same primary; a former primary is fenced.
package target

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Config configures one server.
type Config struct {
	ID         topology.TargetID
	Listen     string                       // PostgreSQL protocol address; empty means a free loopback port
	PeerListen string                       // replication address; empty means a free loopback port
	Peers      map[topology.TargetID]string // replication addresses of the other servers
	// MaxConnections is the connection limit; 0 means 16.
	MaxConnections int
	ConnectDelay   time.Duration // delay added to each new connection
	ReceiveLag     time.Duration // minimum age of an entry when a replica receives it
	ApplyLag       time.Duration // further delay until the entry is applied on a replica
	// Primary and Term apply only to the first start in Dir.
	Primary topology.TargetID
	Term    uint64
	Dir     string // directory of the log, the role and the database
	SeedSQL string // statements executed before the first log entry
}

const (
	defaultMaxConnections = 16
	loopbackAnyPort       = "127.0.0.1:0"
)

func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = loopbackAnyPort
	}
	if c.PeerListen == "" {
		c.PeerListen = loopbackAnyPort
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
	if c.Term == 0 {
		c.Term = 1
	}
	return c
}
