package confirm

import "nettlewalk.example/nettlewalk/internal/topology"

// Ballot orders the instructions that holders of a group's duty give to its voters.
type Ballot struct {
	Token  uint64 // fencing token of the holder
	Number uint64 // of the instruction under that token
}

// Before reports whether b precedes other.
func (b Ballot) Before(other Ballot) bool {
	return b.Token < other.Token || b.Token == other.Token && b.Number < other.Number
}

// Verdict is a voter's answer to a request to record a position.
type Verdict uint8

// The verdicts.
const (
	Unanswered Verdict = iota // no answer arrived
	Recorded
	Sealed       // the leader may be about to be replaced
	OldTerm      // a leader of a later term was found
	OldEpoch     // the electorate has changed
	OtherProcess // the process that was a voter has ended
)

// Action is an instruction to a voter.
type Action uint8

// The actions.
const (
	Adopt Action = iota + 1 // accept no instruction of earlier holders any more
	Seal                    // record nothing
	Order                   // a promotion is about to be requested
	Open                    // record positions of the given term and of later ones
)

// Instruction is an instruction of the holder of the group's duty to a voter.
type Instruction struct {
	Ballot Ballot
	Action Action
	Term   uint64            // of Seal and Open
	Target topology.TargetID // of Order
}

// State is what a voter has recorded for a group.
type State struct {
	Epoch  uint64
	Ballot Ballot // of the latest instruction
	Sealed bool
	// SealedTerm is a lower bound of the leader's term when the voter was sealed.
	SealedTerm uint64
	// OrderedBy is the token of the first holder since the voter was last open that was
	// about to request a promotion, and Ordered the target; 0: none. Several is set if
	// another target was to be promoted after that.
	OrderedBy uint64
	Ordered   topology.TargetID
	Several   bool
	// FromTerm is the first term of which positions are recorded.
	FromTerm uint64
	Newest   topology.Position // recorded in this epoch
}

// Register is the state of one voter for one group.
type Register struct{ state State }

// enter moves to a later epoch. It returns false if the epoch has passed.
func (r *Register) enter(epoch, fromTerm uint64) bool {
	if epoch > r.state.Epoch {
		r.state = State{Epoch: epoch, FromTerm: fromTerm}
	}
	return epoch == r.state.Epoch
}

// Record records a position, unless the voter may not. The zero position, which asks
// whether others would be recorded, is of no term.
func (r *Register) Record(epoch, fromTerm uint64, p topology.Position) Verdict {
	switch {
	case !r.enter(epoch, fromTerm):
		return OldEpoch
	case r.state.Sealed:
		return Sealed
	case !p.IsZero() && p.Term < r.state.FromTerm:
		return OldTerm
	}
	r.state.Newest = topology.Later(r.state.Newest, p)
	return Recorded
}

// Instruct carries out an instruction. It returns the state before and whether the
// instruction was accepted. One that arrives after a later one is refused.
func (r *Register) Instruct(epoch, fromTerm uint64, i Instruction) (State, bool) {
	if !r.enter(epoch, fromTerm) || i.Ballot.Before(r.state.Ballot) {
		return r.state, false
	}
	before := r.state
	r.state.Ballot = i.Ballot
	switch i.Action {
	case Seal:
		r.state.Sealed, r.state.SealedTerm = true, max(i.Term, r.state.SealedTerm, r.state.FromTerm, r.state.Newest.Term)
	case Order:
		if r.state.OrderedBy == 0 {
			r.state.OrderedBy, r.state.Ordered = i.Ballot.Token, i.Target
		}
		r.state.Several = r.state.Several || r.state.Ordered != i.Target
	case Open:
		r.state.Sealed, r.state.OrderedBy, r.state.Ordered, r.state.Several = false, 0, "", false
		r.state.FromTerm = max(i.Term, r.state.FromTerm)
	}
	return before, true
}

// State returns the voter's state.
func (r *Register) State() State { return r.state }
