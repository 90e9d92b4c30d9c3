package testbed

import (
	"fmt"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Plan describes the deployment that a Bed starts.
type Plan struct {
	Name           string
	Domains        []topology.Domain
	Groups         []topology.GroupID
	HostsPerDomain int
	Slots          int           // per target
	Connections    int           // per target
	ConnectCost    time.Duration // time that a target takes to accept a connection
	DomainDelay    Delay         // between failure domains
	ClientDelay    Delay         // between callers and hosts
	ApplyLag       time.Duration // of replicas, from receiving to applying
	ReceiveLag     time.Duration // of replicas, until they receive changes
	HostListLag    time.Duration // staleness of the platform's host list
	Customers      []Customer
	NoLinks        bool // processes connect directly, without faults or delays
}

// Delay holds the one-way delays of a link, in milliseconds.
type Delay struct {
	To   int64 // from the client to the server
	From int64 // from the server to the client
}

// Customer is a customer and the parameters of its template.
type Customer struct {
	ID           topology.CustomerID
	ReadKeywords bool
	MaxStaleness time.Duration
	WhenCutOff   customer.StaleReadPolicy
	Acknowledge  customer.AckMode
	Limits       customer.Limits
	CostShare    float64
}

// Association returns the crew bookings deployment: three failure domains, three
// groups of three targets, 16 connections per target, a connect time of 10 ms, and
// one-way delays of 1.5 ms between domains (1 ms to the server, 2 ms back) and 1 ms
// between callers and hosts.
func Association() Plan {
	return Plan{
		Name:           "association",
		Domains:        []topology.Domain{"bne-north", "bne-south", "gold-coast"},
		Groups:         []topology.GroupID{"booking1", "booking2", "booking3"},
		HostsPerDomain: 2,
		Slots:          2,
		Connections:    16,
		ConnectCost:    10 * time.Millisecond,
		DomainDelay:    Delay{To: 1, From: 2},
		ClientDelay:    Delay{To: 1, From: 1},
		Customers:      []Customer{DefaultCustomer("association")},
	}
}

// Caderno returns the notebook deployment: 32 connections per target, a connect time
// of 30 ms, and one-way delays of 1 ms between failure domains and between callers
// and hosts.
func Caderno() Plan {
	p := Association()
	p.Name = "caderno"
	p.Domains = []topology.Domain{"lx-alvalade", "lx-marvila", "lx-oeiras"}
	p.Groups = []topology.GroupID{"core1", "core2", "core3"}
	p.Connections = 32
	p.ConnectCost = 30 * time.Millisecond
	p.DomainDelay = Delay{To: 1, From: 1}
	p.Customers = []Customer{DefaultCustomer("caderno")}
	return p
}

// Small returns a deployment of one group in three failure domains with one host
// each, without delays.
func Small() Plan {
	p := Association()
	p.Name = "small"
	p.Groups = p.Groups[:1]
	p.HostsPerDomain = 1
	p.ConnectCost = 0
	p.DomainDelay = Delay{}
	p.ClientDelay = Delay{}
	return p
}

// DefaultCustomer returns a customer whose statements that begin with a read keyword
// may run on replicas up to 10 s behind. Reads that would be staler are refused.
func DefaultCustomer(id topology.CustomerID) Customer {
	return Customer{
		ID:           id,
		ReadKeywords: true,
		MaxStaleness: 10 * time.Second,
		WhenCutOff:   customer.RefuseStaleReads,
		Acknowledge:  customer.AckMajority,
		Limits:       customer.Limits{Concurrent: 1000, Queue: 1000},
		CostShare:    1,
	}
}

// TargetIDs returns the group's targets, one in each failure domain. The first target
// is the initial primary.
func (p *Plan) TargetIDs(group topology.GroupID) []topology.TargetID {
	ids := make([]topology.TargetID, len(p.Domains))
	for i := range p.Domains {
		ids[i] = topology.TargetID(fmt.Sprintf("%s-t%d", group, i+1))
	}
	return ids
}
