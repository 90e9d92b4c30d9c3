package promotion

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Request is a promotion request: a call to the platform that makes a target the
// primary of its group.
type Request struct {
	Group  topology.GroupID
	Target topology.TargetID
	Holder string // name of the host that holds the group's duty
	Token  uint64 // fencing token; increases with every change of the holder
	// NotAfter is the time, on the clock of package steady, after which the request
	// must not be sent: the holder may have been suspended and replaced since.
	NotAfter time.Time
}

// Outcome is the result of a promotion request.
type Outcome uint8

// The outcomes of a promotion request.
const (
	Accepted   Outcome = iota + 1 // the platform will carry it out
	Refused                       // a request with a higher token came first, or the target isn't running
	NotDone                       // the platform guarantees that it did nothing
	Unanswered                    // the request may still be carried out, even seconds later
)

// Reply is the platform's response to a promotion request.
type Reply struct {
	Outcome Outcome
	Err     error
}

// Promoter sends promotion requests to the platform. Each call makes one attempt.
type Promoter interface {
	Promote(ctx context.Context, request Request) Reply
}

// Reach is the result of the latest probe of a target.
type Reach uint8

// The probe results.
const (
	NotProbed          Reach = iota // not probed yet
	Answered                        // Member.Status is from this probe
	Dead                            // connection refused, or proved to have ended; certain only if Member.LogSince is set
	Unresponsive                    // no answer; the target may still serve other hosts
	Overloaded                      // alive, but without a free connection or work slot
	Reassigned                      // another registered target of the group answers at its address and has its log
	UnregisteredTarget              // an unregistered target answers at its address and may have its log
)

// Member is a target of the group with its latest probe result.
type Member struct {
	ID      topology.TargetID
	Leaving bool
	Reach   Reach
	Status  statement.TargetStatus // valid if Reach is Answered
	// Unregistered is set if the store doesn't list the target. One that answers all the same
	// may have started again without the log that it had: only its entry would tell.
	Unregistered bool
	// LogSince is an upper bound of this target's log: a position that the
	// leader had after this target was proved to have ended. It is zero if no bound is
	// known.
	LogSince topology.Position
	// MayResume reports that a resume command got no answer and may still end
	// the target's pause.
	MayResume bool
	// MayBeNeeded is set if another holder of the duty paused the target, while a request of
	// that holder may rely on it.
	MayBeNeeded bool
	// Covered is set if the target has ended and another one has what it had. It counts
	// only if it, or an unregistered target at its address, answers.
	Covered bool
	// LostLog is set if the target has started again without the log that it had.
	// LostLogEnd is an upper bound of that log, zero if no bound is known.
	LostLog    bool
	LostLogEnd topology.Position
	// LogProved is set if the log that the target has told since the voters were closed is proved
	// to be that of the incarnation whose log counts, and LogTold is the newest position of it.
	LogProved bool
	LogTold   topology.Position
}

// View is the input of NextStep.
type View struct {
	AckReplicas  int               // number of replicas that must receive a commit
	Leader       topology.TargetID // last target proved to lead
	LeaderServes bool              // the latest probe proved that the leader leads
	Replace      bool              // the leader must be replaced
	LeaderTerm   uint64            // lower bound of the leader's term; 0: not known
	// LeaderPosition is a position that the leader had after the replicas were paused.
	// While it serves, the candidate must have reached it: a target that nobody has
	// heard of may have confirmed commits up to there.
	LeaderPosition topology.Position
	// MayEndPauses is set if no request relies on the pauses in force.
	MayEndPauses bool
	// Ordered is a target whose promotion was requested and may still take effect at
	// any time; no other one may be promoted, unless MayOverride is set and it lacks commits. "": none.
	Ordered topology.TargetID
	// MayOverride is set if the platform refuses the request for Ordered once it has seen one
	// with a higher token, for another target or for the leader.
	MayOverride bool
	Members     []Member // all targets but the leader
	// Confirmed is set if hosts pass commits on only after voters have recorded them.
	// Sealing then tells what the voters have answered, and MaySeal whether they may be
	// sealed now.
	Confirmed bool
	MaySeal   bool
	Sealing   confirm.Sealing
	// Covering is a position that a target which leads had after the voters were closed: it
	// is at or after every position that was passed on. Zero if none is known.
	Covering topology.Position
	// RegisterRead is set if the store was read for the group's targets after the voters
	// were closed.
	RegisterRead bool
}

// Step is an action that NextStep decides on.
type Step interface{ step() }

// The steps.
type (
	// NoAction means that there is nothing to do.
	NoAction struct{}
	// Resume ends pauses that no promotion attempt needs.
	Resume struct{ Targets []topology.TargetID }
	// Pause makes replicas stop receiving commits, under a new term.
	Pause struct {
		Term    uint64
		Targets []topology.TargetID
	}
	// Seal makes the voters of the group stop to confirm commits.
	Seal struct{ Term uint64 }
	// Promote requests the promotion of a target that has every acknowledged
	// commit.
	Promote struct{ Target topology.TargetID }
	// Demote makes replaced primaries, which lead on, replicas of the present leader.
	Demote struct {
		Term    uint64
		Targets []topology.TargetID
	}
	// Wait probes again soon, since no step is safe now.
	Wait struct {
		Reason string
		// For lists the targets of which one has to answer, to register or to be proved to
		// have ended, or the leader has to return. Empty if the reason isn't theirs.
		For []topology.TargetID
	}
)

func (NoAction) step() {}
func (Resume) step()   {}
func (Pause) step()    {}
func (Seal) step()     {}
func (Promote) step()  {}
func (Wait) step()     {}
func (Demote) step()   {}
