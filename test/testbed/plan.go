package testbed

import (
	"fmt"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Plan describes what a Bed starts.
type Plan struct {
	Name           string
	Domains        []topology.Domain
	Groups         []topology.GroupID
	HostsPerDomain int
	Slots          int           // per target
	Connections    int           // per target
	ConnectCost    time.Duration // of a new connection at a target
	DomainDelay    Delay         // between domains
	ClientDelay    Delay         // between callers and hosts
	ApplyLag       time.Duration // of replicas
	ReceiveLag     time.Duration // of replicas
	HostListLag    time.Duration // of the platform's host list
	Customers      []Customer
	NoLinks        bool // processes talk directly: no faults, no delays
}

// Delay is a one-way delay in whole milliseconds for each direction.
type Delay struct {
	To   int64 // ms, from the side that dials
	From int64 // ms, from the side that accepts
}

// Customer is one customer with its template's parameters.
type Customer struct {
	ID           topology.CustomerID
	ReadKeywords bool
	MaxStaleness time.Duration
	WhenCutOff   customer.WhenCutOff
	Acknowledge  customer.Acknowledge
	Limits       customer.Limits
	CostShare    float64
}

// Association returns the crew bookings deployment: three domains, three
// groups of three targets, 16 connections, connects of 10 ms, 1.5 ms between
// domains (1 and 2 ms by direction) and 1 ms to callers.
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

// Caderno returns the notebook deployment: 32 connections, connects of 30 ms,
// 1 ms between domains and to callers.
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

// Small returns one group in three domains with one host each, without delays.
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

// DefaultCustomer lets statements that begin as reads go to replicas up to
// 10 s behind, and refuses older reads.
func DefaultCustomer(id topology.CustomerID) Customer {
	return Customer{
		ID:           id,
		ReadKeywords: true,
		MaxStaleness: 10 * time.Second,
		WhenCutOff:   customer.Refuse,
		Acknowledge:  customer.AckMajority,
		Limits:       customer.Limits{Concurrent: 1000, Queue: 1000},
		CostShare:    1,
	}
}

// TargetIDs returns the group's targets, one in each domain; the first is the
// first primary.
func (p *Plan) TargetIDs(group topology.GroupID) []topology.TargetID {
	ids := make([]topology.TargetID, len(p.Domains))
	for i := range p.Domains {
		ids[i] = topology.TargetID(fmt.Sprintf("%s-t%d", group, i+1))
	}
	return ids
}
