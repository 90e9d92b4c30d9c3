// Package topology defines the data types that all packages share: IDs of hosts,
// failure domains, groups and targets, and positions in a group's log. It contains
// no policy and imports no other package of the project.
package topology

// HostID identifies one proxy process. It is unique among live hosts.
type HostID string

// Domain is the name of a failure domain.
type Domain string

// TargetID identifies one database server. It is unique across groups.
type TargetID string

// GroupID identifies one replicated database: a primary and its replicas.
type GroupID string

// CustomerID identifies a customer.
type CustomerID string

// Target is one database server of a group.
type Target struct {
	ID          TargetID `json:"id"`
	Group       GroupID  `json:"group"`
	Domain      Domain   `json:"domain"`
	Addr        string   `json:"addr"`        // host:port of the server's PostgreSQL protocol
	Connections int      `json:"connections"` // connection limit of the server for all hosts together
	Slots       int      `json:"slots"`       // number of hosts that share those connections, one slot each
	Leaving     bool     `json:"leaving"`     // the target is draining and gets no new work
}

// Group is one replicated database as the platform publishes it. Term and Primary
// are only hints and may be outdated; the status that the targets themselves
// report is authoritative.
type Group struct {
	ID      GroupID  `json:"id"`
	Targets []Target `json:"targets"`
	Term    uint64   `json:"term"`
	Primary TargetID `json:"primary"`
}

// Target returns the group's target with the given ID.
func (g *Group) Target(id TargetID) (Target, bool) {
	for _, t := range g.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// Majority returns the number of targets that form a majority of the group.
func (g *Group) Majority() int { return len(g.Targets)/2 + 1 }

// HostState is the lifecycle state of a host as other hosts know it.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving" // completes its work and acquires no more slots
	HostGone    HostState = "gone"
)

// Host is one proxy process with its addresses and state.
type Host struct {
	ID         HostID    `json:"id"`
	Domain     Domain    `json:"domain"`
	PeerAddr   string    `json:"peer_addr"`   // host:port for other hosts
	CallerAddr string    `json:"caller_addr"` // host:port for callers
	AdminAddr  string    `json:"admin_addr"`  // host:port for operators
	State      HostState `json:"state"`
	// Weight is the host's part of the work relative to other hosts, 0 if unknown.
	Weight float64 `json:"weight,omitempty"`
}
