package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Event is what a machine is told.
type Event interface{ isEvent() }

// Tick lets time pass. Drivers send it every TickInterval.
type Tick struct{}

// StatusAnswered is a target's answer to a request sent at SentAt.
type StatusAnswered struct {
	Status target.Status
	SentAt time.Time
}

// StatusFailed is a status request that got no answer.
type StatusFailed struct {
	Target topology.TargetID
	SentAt time.Time
}

// ProbeResult is what became of a new connection.
type ProbeResult int

// The results.
const (
	ProbeAnswered ProbeResult = iota
	ProbeRefused              // nothing listens
	ProbeSilent
)

// ProbeDone is the end of a Probe.
type ProbeDone struct {
	Target topology.TargetID
	Result ProbeResult
	SentAt time.Time
}

// Opinion is what another host thinks of a group's primary.
type Opinion struct {
	Host    topology.HostID
	Term    uint64
	Primary topology.TargetID
	Healthy bool // the primary answered it after the question, and its writes can be confirmed
	Reaches bool // it reaches a majority of the targets
	Changes bool // it is changing the primary itself
}

// OpinionsGathered are the answers of the hosts that could be asked.
type OpinionsGathered struct {
	Attempt  uint64 // of the Ask
	Opinions []Opinion
}

// Asked is another host's question about the primary.
type Asked struct{}

// OrderKind tells what a target is ordered to do.
type OrderKind string

// The orders of package target.
const (
	OrderFence   OrderKind = "fence"
	OrderPromote OrderKind = "promote"
	OrderFollow  OrderKind = "follow"
)

// Order is an order to one target.
type Order struct {
	Kind    OrderKind
	Target  topology.TargetID
	Term    uint64
	Primary topology.TargetID // whom to follow
}

// OrderResult is what became of an order.
type OrderResult int

// The results.
const (
	OrderDone    OrderResult = iota
	OrderStale               // the target knows the term or a higher one
	OrderUnknown             // it may have been carried out
)

// OrderDoneEvent is the end of an order.
type OrderDoneEvent struct {
	Order  Order
	Result OrderResult
	Status target.Status // of OrderDone
	SentAt time.Time
}

func (Tick) isEvent()             {}
func (StatusAnswered) isEvent()   {}
func (StatusFailed) isEvent()     {}
func (ProbeDone) isEvent()        {}
func (OpinionsGathered) isEvent() {}
func (Asked) isEvent()            {}
func (OrderDoneEvent) isEvent()   {}
