package customer

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// StaleReadPolicy is the policy for reads that no target can serve within the
// staleness bound.
type StaleReadPolicy string

// Values of StaleReadPolicy.
const (
	RefuseStaleReads StaleReadPolicy = "refuse" // fail the read
	ServeStaleReads  StaleReadPolicy = "serve"  // serve the read from a stale target
)

// AckMode is the condition under which a commit is acknowledged to the
// caller.
type AckMode string

// Values of AckMode.
const (
	AckMajority AckMode = "majority" // a majority has the commit, in the commit's term
	AckTerm     AckMode = "term"     // a majority has confirmed that it knows no higher term
)

// User is a database login of a customer.
type User struct {
	Name     string `json:"name"`
	ReadOnly bool   `json:"read_only,omitempty"`
	Verifier string `json:"verifier"` // SCRAM-SHA-256 verifier in PostgreSQL's format; empty: no password
}

// Limits are the admission limits of a customer per group.
type Limits struct {
	Concurrent int     `json:"concurrent"` // statements in progress
	Queue      int     `json:"queue"`      // queued statements
	Rate       float64 `json:"rate"`       // statements per second; 0: unlimited
}

// Customer is the effective configuration of a customer, resolved from its
// template and its own parameters.
type Customer struct {
	ID              topology.CustomerID         `json:"id"`
	Template        string                      `json:"template"`
	Version         uint64                      `json:"version"` // version of the customer object
	TemplateVersion uint64                      `json:"template_version"`
	Databases       map[string]topology.GroupID `json:"databases"` // database name in the connection string to group
	Users           []User                      `json:"users"`
	ReadKeywords    bool                        `json:"read_keywords"` // statements that begin with a read keyword may go to replicas
	MaxStaleness    time.Duration               `json:"max_staleness"` // 0: unlimited
	WhenCutOff      StaleReadPolicy             `json:"when_cut_off"`
	Acknowledge     AckMode                     `json:"acknowledge"`
	Limits          Limits                      `json:"limits"`
	CostShare       float64                     `json:"cost_share"`
}

// View gives read access to the active configuration of this host. It is safe
// for concurrent use. Callers must not modify the returned values.
type View interface {
	Customer(id topology.CustomerID) (*Customer, bool)
	Group(id topology.GroupID) (*topology.Group, bool)
	Groups() []*topology.Group
	// Ready reports whether a complete configuration is loaded.
	Ready() bool
}
