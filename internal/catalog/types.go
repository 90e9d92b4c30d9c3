package catalog

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Freshness is what a route's reads must see.
type Freshness uint8

// The kinds of freshness.
const (
	LatestData Freshness = iota // every acknowledged commit
	BoundedAge                  // every commit acknowledged longer ago than MaxAge
	OwnWrites                   // as BoundedAge, and the session's own commits
)

// Route leads the sessions of one database name to a group.
type Route struct {
	Database         string
	Group            topology.GroupID
	Freshness        Freshness
	MaxAge           time.Duration // of what reads see; not for LatestData
	StatementTimeout time.Duration // of one statement
	LatencyGoal      time.Duration // of one operation
	Priority         int           // 0 is the highest
}

// Group is what the configuration says of a group.
type Group struct {
	ID             topology.GroupID
	MaxConnections int // at each target, from all hosts together
	AckReplicas    int // replicas that must receive a commit before it is acknowledged
}

// Configuration is one whole version.
type Configuration struct {
	Version         uint64
	Routes          map[string]Route // by database name
	Groups          map[topology.GroupID]Group
	TransactionIdle time.Duration // after which an idle transaction is ended; 0: never
}

// Member is one target as it registered itself.
type Member struct {
	Target    topology.Target
	Primary   bool // it believes that it leads
	WorkSlots int  // statements that it runs at once
}

// Register is the list of all registered targets at one revision of the store.
type Register struct {
	Revision uint64
	Members  map[topology.TargetID]Member
}
