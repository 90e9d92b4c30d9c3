package catalog

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Freshness is the consistency level of a route's reads.
type Freshness uint8

// Consistency levels of reads.
const (
	LatestData Freshness = iota // reads see every acknowledged commit
	BoundedAge                  // reads see every commit acknowledged more than MaxAge ago
	OwnWrites                   // like BoundedAge, plus the session's own commits
)

// Route maps a database name to the group that serves its sessions.
type Route struct {
	Database         string
	Group            topology.GroupID
	Freshness        Freshness
	MaxAge           time.Duration // maximum staleness of reads; unused for LatestData
	StatementTimeout time.Duration // limit for one statement
	LatencyGoal      time.Duration // latency objective for one operation
	Priority         int           // 0 is the highest priority
}

// Group is the configuration of one group.
type Group struct {
	ID             topology.GroupID
	MaxConnections int // per target, over all hosts together
	AckReplicas    int // replicas that must receive a commit before it is acknowledged
}

// Configuration is one complete version of the configuration.
type Configuration struct {
	Version         uint64
	Routes          map[string]Route // by database name
	Groups          map[topology.GroupID]Group
	TransactionIdle time.Duration // idle time after which a transaction is ended; 0: no limit
}

// Member is the registration of one target.
type Member struct {
	Target    topology.Target
	Primary   bool // the target considers itself the primary
	WorkSlots int  // statements that the target runs concurrently
}

// Registry is a snapshot of the target registry at one revision of the store.
type Registry struct {
	Revision uint64
	Members  map[topology.TargetID]Member
}
