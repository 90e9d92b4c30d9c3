// Package topology holds the plain values that every slice shares: names of
// hosts, failure domains, groups and targets, and positions in a group's log.
// It decides nothing and imports no other package of the project.
package topology

// HostID names one process of the proxy, unique among live hosts.
type HostID string

// Domain names a failure domain.
type Domain string

// TargetID names one database server, unique across groups.
type TargetID string

// GroupID names one replicated database: a primary and its replicas.
type GroupID string

// CustomerID names a customer.
type CustomerID string

// Target is one database server of a group.
type Target struct {
	ID          TargetID `json:"id"`
	Group       GroupID  `json:"group"`
	Domain      Domain   `json:"domain"`
	Addr        string   `json:"addr"`        // host:port, PostgreSQL protocol
	Connections int      `json:"connections"` // connections that the server accepts in all
	Slots       int      `json:"slots"`       // hosts that share those connections
	Leaving     bool     `json:"leaving"`     // gets no new work
}

// Group is one replicated database as the platform publishes it. Term and
// Primary are hints: the targets' own answers decide.
type Group struct {
	ID      GroupID  `json:"id"`
	Targets []Target `json:"targets"`
	Term    uint64   `json:"term"`
	Primary TargetID `json:"primary"`
}

// Target returns the group's target of that id.
func (g *Group) Target(id TargetID) (Target, bool) {
	for _, t := range g.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// Majority returns how many of the group's targets make a majority.
func (g *Group) Majority() int { return len(g.Targets)/2 + 1 }

// HostState is what is known of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving" // finishes its work, takes over no slot
	HostGone    HostState = "gone"
)

// Host is one process of the proxy.
type Host struct {
	ID         HostID    `json:"id"`
	Domain     Domain    `json:"domain"`
	PeerAddr   string    `json:"peer_addr"`   // host:port for other hosts
	CallerAddr string    `json:"caller_addr"` // host:port for callers
	AdminAddr  string    `json:"admin_addr"`  // host:port for operators
	State      HostState `json:"state"`
}
