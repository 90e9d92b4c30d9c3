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
	Public           bool          // callers need no key
}

// Group is the configuration of one group.
type Group struct {
	ID             topology.GroupID
	MaxConnections int // per target, over all hosts together
	AckReplicas    int // replicas that must receive a commit before it is acknowledged
}

// Customer is the configuration of one customer.
type Customer struct {
	ID       topology.CustomerID
	Keys     []string // keys that identify the customer's callers, sorted
	Rate     float64  // operations per second over all hosts together; 0: no limit
	Burst    float64  // operations above Rate that may run at once
	Priority int      // 0 is the highest. It decides nothing: requests wait by their route's priority.
}

// Configuration is one complete version of the configuration.
type Configuration struct {
	Version         uint64
	Routes          map[string]Route // by database name
	Groups          map[topology.GroupID]Group
	TransactionIdle time.Duration // idle time after which a transaction is ended; 0: no limit
	// Customers is empty in deployments without customers. KeyOwners has the customer of
	// each key. SetCustomers sets both.
	Customers map[topology.CustomerID]Customer
	KeyOwners map[string]topology.CustomerID
	// CustomersKnown is false if the configuration came through a host of an earlier
	// version, which leaves out customers and public routes.
	CustomersKnown bool
}

// SetCustomers sets the customers. Of two customers with the same key, the one that
// comes first in the order of IDs gets it, so that all hosts decide alike.
func (c *Configuration) SetCustomers(customers []Customer) {
	if len(customers) == 0 {
		return
	}
	c.Customers = make(map[topology.CustomerID]Customer, len(customers))
	c.KeyOwners = make(map[string]topology.CustomerID, len(customers))
	for _, customer := range customers {
		c.Customers[customer.ID] = customer
		for _, key := range customer.Keys {
			if owner, taken := c.KeyOwners[key]; !taken || customer.ID < owner {
				c.KeyOwners[key] = customer.ID
			}
		}
	}
}

// CustomerByKey returns the customer that holds a key.
func (c *Configuration) CustomerByKey(key string) (Customer, bool) {
	id, ok := c.KeyOwners[key]
	return c.Customers[id], ok
}

// Member is the registration of one target.
type Member struct {
	Target    topology.Target
	Primary   bool // the target considers itself the primary
	WorkSlots int  // statements that the target runs concurrently
	// Incarnation changes when the target starts again under its ID, 0: not stated.
	Incarnation int64
	// Cold is how much longer the target states that it is slow after its start.
	Cold time.Duration
}

// Heartbeat is what a target's entry in the register tells of the process that wrote it last.
type Heartbeat struct {
	Incarnation int64 // see Member
	Sequence    int64 // rises with each heartbeat of a process
}

// Registry is a snapshot of the target registry at one revision of the store.
type Registry struct {
	Era      uint64 // of the store; revisions compare within one era only
	Revision uint64
	Members  map[topology.TargetID]Member
}

// Position returns when the snapshot was taken in the store's history.
func (r *Registry) Position() StorePosition { return StorePosition{r.Era, r.Revision} }

// StorePosition is a revision in an era of the store. A store that came back from an
// older copy of its objects is in a later era, and its revisions are lower.
type StorePosition struct{ Era, Revision uint64 }

// After reports whether p is later than other.
func (p StorePosition) After(other StorePosition) bool {
	return p.Era > other.Era || p.Era == other.Era && p.Revision > other.Revision
}
