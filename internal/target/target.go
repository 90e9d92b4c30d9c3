// Package target implements the control connection to one database server: reading
// its status, changing its role and term, and locking its slots. Callers' requests
// don't use this connection.
//
// A target is a primary, a replica that follows a primary, or fenced. A fenced
// target has learned of a higher term and accepts no writes until it is promoted
// or told which primary to follow. A target's term never decreases, and the target
// rejects control statements with a lower term.
package target

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Role is a target's role in its group.
type Role string

// Roles of a target.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// Status is a target's state as the target itself reports it.
type Status struct {
	Target   topology.TargetID `json:"target"`
	Role     Role              `json:"role"`
	Term     uint64            `json:"term"`     // highest term that the target has learned of
	Primary  topology.TargetID `json:"primary"`  // primary that the target follows; its own ID if it is the primary
	Received topology.Position `json:"received"` // last log entry that the target has stored durably
	Applied  topology.Position `json:"applied"`  // last log entry that is visible to reads
}

// Control reads and changes the role of one target. Fence, Promote and Follow
// return ErrStaleTerm if the target knows a higher term. Fence also returns it if
// the target already knows the given term, so that only one caller can fence a
// target at a term and thereby own the term. After any other error the outcome is
// unknown. Control is safe for concurrent use; calls run one at a time.
type Control interface {
	Status(ctx context.Context) (Status, error)
	// Fence stops writes at the target until a Promote or Follow with this term or
	// a higher one.
	Fence(ctx context.Context, term uint64) (Status, error)
	// Promote makes a target that is fenced at this term the primary.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the target a replica of the given primary.
	Follow(ctx context.Context, term uint64, primary topology.TargetID) (Status, error)
}

// Directory controls any target through the host that holds it. Its methods
// correspond to those of Control.
type Directory interface {
	// Status returns a status that the target reported after the call began.
	Status(ctx context.Context, id topology.TargetID) (Status, error)
	Fence(ctx context.Context, id topology.TargetID, term uint64) (Status, error)
	Promote(ctx context.Context, id topology.TargetID, term uint64) (Status, error)
	Follow(ctx context.Context, id topology.TargetID, term uint64, primary topology.TargetID) (Status, error)
}
