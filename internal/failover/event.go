package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Event is an input of a machine.
type Event interface{ isEvent() }

// Tick lets a machine act on the time that has passed. It is sent every TickInterval.
type Tick struct{}

// StatusAnswered is a target's answer to a status request that was sent at SentAt.
type StatusAnswered struct {
	Status target.Status
	SentAt time.Time
}

// StatusFailed is a status request that was not answered.
type StatusFailed struct {
	Target topology.TargetID
	SentAt time.Time
}

// ProbeResult is the result of opening a new connection to a target.
type ProbeResult int

// The results of a probe.
const (
	ProbeAnswered ProbeResult = iota
	ProbeRefused              // connection refused, or closed or reset by the target
	ProbeTimedOut             // timeout, or the target's address is unreachable
)

// ProbeFinished is the result of a Probe that was sent at SentAt.
type ProbeFinished struct {
	Target topology.TargetID
	Result ProbeResult
	SentAt time.Time
}

// Opinion is a host's view of a group's primary, which it gives in a pre-vote.
type Opinion struct {
	Host    topology.HostID
	Term    uint64
	Primary topology.TargetID
	Healthy bool // the primary answered Host after the request, and its writes can be confirmed
	Reaches bool // Host reaches a majority of the targets
	Changes bool // Host is changing the primary
}

// OpinionsGathered carries the opinions of the hosts that answered in time.
type OpinionsGathered struct {
	Attempt  uint64 // the Attempt of the RequestOpinions
	Opinions []Opinion
}

// OpinionRequested is another host's request for an opinion about the primary.
type OpinionRequested struct{}

// OrderKind is the operation that a target is told to carry out.
type OrderKind string

// The kinds of orders, which correspond to the methods of target.Directory.
const (
	OrderFence   OrderKind = "fence"
	OrderPromote OrderKind = "promote"
	OrderFollow  OrderKind = "follow"
)

// Order is a control operation for one target.
type Order struct {
	Kind    OrderKind
	Target  topology.TargetID
	Term    uint64
	Primary topology.TargetID // primary to follow, for OrderFollow
}

// OrderResult is the result of an order.
type OrderResult int

// The results of an order.
const (
	OrderSucceeded OrderResult = iota
	OrderStale                 // the target is at a higher term or, for a fence, already at the same term
	OrderUnknown               // the outcome is not known: the target may have carried out the order
)

// OrderFinished is the result of an order that was sent at SentAt.
type OrderFinished struct {
	Order  Order
	Result OrderResult
	Status target.Status // set if Result is OrderSucceeded
	SentAt time.Time
}

func (Tick) isEvent()             {}
func (StatusAnswered) isEvent()   {}
func (StatusFailed) isEvent()     {}
func (ProbeFinished) isEvent()    {}
func (OpinionsGathered) isEvent() {}
func (OpinionRequested) isEvent() {}
func (OrderFinished) isEvent()    {}
