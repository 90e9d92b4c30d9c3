package customer

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// WhenCutOff tells what becomes of reads that no target can serve fresh enough.
type WhenCutOff string

// The choices for reads past the staleness bound.
const (
	Refuse WhenCutOff = "refuse"
	Serve  WhenCutOff = "serve"
)

// Acknowledge tells when a commit is answered.
type Acknowledge string

// The choices for commits.
const (
	AckMajority Acknowledge = "majority" // a majority has the commit at its term
	AckTerm     Acknowledge = "term"     // a majority still knows no higher term
)

// User is one login of a customer.
type User struct {
	Name     string `json:"name"`
	ReadOnly bool   `json:"read_only,omitempty"`
	Verifier string `json:"verifier"` // SCRAM-SHA-256 verifier in PostgreSQL's form; empty: no password
}

// Limits bound what a customer may have under way per group.
type Limits struct {
	Concurrent int     `json:"concurrent"` // statements at once
	Queue      int     `json:"queue"`      // statements that wait
	Rate       float64 `json:"rate"`       // statements a second, 0: no bound
}

// Customer is what a template and a customer's own parameters give together.
type Customer struct {
	ID              topology.CustomerID         `json:"id"`
	Template        string                      `json:"template"`
	Version         uint64                      `json:"version"` // of the customer's own object
	TemplateVersion uint64                      `json:"template_version"`
	Databases       map[string]topology.GroupID `json:"databases"` // name in a connection string to group
	Users           []User                      `json:"users"`
	ReadKeywords    bool                        `json:"read_keywords"` // statements that begin as reads may go to replicas
	MaxStaleness    time.Duration               `json:"max_staleness"` // 0: any age
	WhenCutOff      WhenCutOff                  `json:"when_cut_off"`
	Acknowledge     Acknowledge                 `json:"acknowledge"`
	Limits          Limits                      `json:"limits"`
	CostShare       float64                     `json:"cost_share"`
}

// View is the configuration in force at this host. Safe for concurrent use;
// what it returns must not be changed.
type View interface {
	Customer(id topology.CustomerID) (*Customer, bool)
	Group(id topology.GroupID) (*topology.Group, bool)
	Groups() []*topology.Group
	// Ready tells whether a configuration is in force.
	Ready() bool
}
