package failover

import "nettlewalk.example/nettlewalk/internal/topology"

// Action is what a machine wants done. Its end comes back as an event, except
// for Publish and Note.
type Action interface{ isAction() }

// Poll asks a target for its status.
type Poll struct{ Target topology.TargetID }

// Probe tries a new connection to a target.
type Probe struct{ Target topology.TargetID }

// Ask asks the other hosts that watch the group for their opinion.
type Ask struct{ Attempt uint64 }

// Give gives an order.
type Give struct{ Order Order }

// Publish tells the platform of a change of primary.
type Publish struct {
	Term    uint64
	Primary topology.TargetID
}

// Note tells the operators of a change of phase.
type Note struct {
	From, To Phase
	Reason   Reason
	Term     uint64
	Detail   string
}

func (Poll) isAction()    {}
func (Probe) isAction()   {}
func (Ask) isAction()     {}
func (Give) isAction()    {}
func (Publish) isAction() {}
func (Note) isAction()    {}
