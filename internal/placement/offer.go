package placement

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Load is how many more of a group's statements a host can run at once: its
// idle connections less the requests that wait there for one. It is negative if
// more requests wait than connections are idle.
type Load struct {
	Idle       int // idle connections to any of the group's targets
	LeaderIdle int // idle connections to the target that the host believes to lead
}

// Offer describes a host that holds connections to a group's targets.
type Offer struct {
	Load
	Host       topology.HostID
	Domain     topology.Domain
	SameDomain bool // in the failure domain of the asking host
	Leads      bool // the host has a connection to the target that it believes to lead
	// RequestedAt is when the host was asked for its load. It is zero if the host holds
	// connections according to the plan, but hasn't reported its load
	// recently.
	RequestedAt time.Time
}

// Requirements describes what a statement requires of a host.
type Requirements struct {
	NeedsLeader bool // the statement must run at the leader
	// FreeOnly excludes hosts without a free connection. It is set if this host
	// has connections of its own: waiting for a connection of another host is
	// no better than waiting for one of them.
	FreeOnly bool
	Exclude  []topology.HostID // hosts that were asked already
}

// assumedFree is the number of free connections assumed for a host that holds
// connections according to the plan but hasn't reported its load. Such a host
// is worth asking, after hosts that reported more.
const assumedFree = 1

// freeConnections estimates how many more such statements the host can run at
// once.
func (o *Offer) freeConnections(n *Requirements) int {
	switch {
	case o.RequestedAt.IsZero():
		return assumedFree + o.Idle
	case n.NeedsLeader:
		return o.LeaderIdle
	}
	return o.Idle
}
