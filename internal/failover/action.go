package failover

import "nettlewalk.example/nettlewalk/internal/topology"

// Action is an output of a machine. The result of an action returns as an event,
// except for Publish and PhaseChange.
type Action interface{ isAction() }

// Poll requests the status of a target.
type Poll struct{ Target topology.TargetID }

// Probe opens a new connection to a target.
type Probe struct{ Target topology.TargetID }

// RequestOpinions asks the other hosts that watch the group for their opinions.
type RequestOpinions struct{ Attempt uint64 }

// SendOrder sends an order to a target.
type SendOrder struct{ Order Order }

// Publish publishes a new primary to the platform.
type Publish struct {
	Term    uint64
	Primary topology.TargetID
}

// PhaseChange reports a change of phase to the log and the metrics.
type PhaseChange struct {
	From, To Phase
	Reason   Reason
	Term     uint64
	Detail   string
}

func (Poll) isAction()            {}
func (Probe) isAction()           {}
func (RequestOpinions) isAction() {}
func (SendOrder) isAction()       {}
func (Publish) isAction()         {}
func (PhaseChange) isAction()     {}
