package placement

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Load is how much more a host can run of a group's statements at once: its
// connections without work, less the requests that wait there for one.
type Load struct {
	Idle       int // to any of the group's targets
	LeaderIdle int // to the target that the host believes to lead
}

// Offer is a host that holds connections to a group's targets.
type Offer struct {
	Load
	Host  topology.HostID
	Near  bool // in this host's failure domain
	Leads bool // it has a connection to the target that it believes to lead
	// At is when it was asked for its load; zero: it holds connections by plan,
	// and hasn't told of them lately.
	At time.Time
}

// Need says what a host must offer.
type Need struct {
	Leader bool              // the statement runs at the leader alone
	Free   bool              // this host's own connections are taken: no better to wait elsewhere
	Not    []topology.HostID // those asked already
}

// unknownFree is how many free connections a host is taken to have that holds
// some by plan and hasn't told: it is worth asking, after those that told of more.
const unknownFree = 1

// free estimates how many more such statements the host could run at once.
func (o *Offer) free(n *Need) int {
	switch {
	case o.At.IsZero():
		return unknownFree + o.Idle
	case n.Leader:
		return o.LeaderIdle
	}
	return o.Idle
}
