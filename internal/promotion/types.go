package promotion

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Order is a call to the platform that makes a target the primary.
type Order struct {
	Group  topology.GroupID
	Target topology.TargetID
	Holder string // name of the host that holds the duty
	Token  uint64 // rises with each change of the holder
}

// Outcome is what became of an order.
type Outcome uint8

// The outcomes.
const (
	Accepted   Outcome = iota + 1
	Refused            // a higher token was used, or the target doesn't run
	NotDone            // the platform promises that nothing was done
	Unanswered         // it may be carried out, even seconds later
)

// Reply is the platform's answer to an order.
type Reply struct {
	Outcome Outcome
	Err     error
}

// Promoter gives orders to the platform, one attempt a call.
type Promoter interface {
	Promote(ctx context.Context, order Order) Reply
}

// Reach is how a target answered the latest look.
type Reach uint8

// The ways.
const (
	Unseen     Reach = iota // not looked at yet
	Answered                // Status is of this look
	Dead                    // nobody listens at its address; only with LogSince it has surely ended
	Silent                  // no answer; it may work for others
	Overloaded              // it lives, but had no connection or work slot to spare
	Gone                    // the target that is registered at its address now answers there
	Replaced                // a target that nobody knows answers there; it may have the log of this one
)

// Member is a target of the group as the latest look saw it.
type Member struct {
	ID      topology.TargetID
	Leaving bool
	Reach   Reach
	Status  statement.TargetStatus // if Answered
	// LogSince is a position that the leader had after this target was found
	// dead, zero if none is known: its log has nothing behind it.
	LogSince topology.Position
	// MayResume: an order to end its pause got no answer and may still come.
	MayResume bool
}

// View is what a decision rests on.
type View struct {
	AckReplicas  int // that must receive a commit
	Leader       topology.TargetID
	LeaderServes bool // proved to lead by this look
	Replace      bool // the leader is to be replaced
	Members      []Member
}

// Step is what is to be done next.
type Step interface{ step() }

// The steps.
type (
	// Rest: nothing is to be done.
	Rest struct{}
	// Resume ends pauses that no attempt needs.
	Resume struct{ Targets []topology.TargetID }
	// Pause makes replicas stop receiving, under a term.
	Pause struct {
		Term    uint64
		Targets []topology.TargetID
	}
	// Promote orders the promotion, which loses nothing.
	Promote struct{ Target topology.TargetID }
	// Hold looks again soon; no step is safe now.
	Hold struct{ Reason string }
)

func (Rest) step()    {}
func (Resume) step()  {}
func (Pause) step()   {}
func (Promote) step() {}
func (Hold) step()    {}
