// Package target speaks to one database server for control: its status, its
// term and its slots' locks. Requests of callers don't pass here.
//
// A target is a primary, a replica that follows a primary, or fenced: it
// learned of a higher term and takes no writes until it is promoted or told
// whom to follow. Its term never falls, and it refuses orders of a lower one.
package target

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Role is what a target does in its group.
type Role string

// The roles.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// Status is a target's own answer about itself.
type Status struct {
	Target   topology.TargetID `json:"target"`
	Role     Role              `json:"role"`
	Term     uint64            `json:"term"`     // highest term it learned of
	Primary  topology.TargetID `json:"primary"`  // whom it follows, itself if primary
	Received topology.Position `json:"received"` // last entry it has durably
	Applied  topology.Position `json:"applied"`  // last entry its readers see
}

// Control gives orders to one target. Fence, Promote and Follow return
// ErrStaleTerm when the target knows a higher term, Fence also when it knows
// this one: whoever fences a target at a term has that term for itself. Every
// other error means that the outcome isn't known. Safe for concurrent use;
// calls run one at a time.
type Control interface {
	Status(ctx context.Context) (Status, error)
	// Fence stops writes at the target until an order of this term or higher.
	Fence(ctx context.Context, term uint64) (Status, error)
	// Promote makes a target fenced at this term the primary.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the target a replica of primary.
	Follow(ctx context.Context, term uint64, primary topology.TargetID) (Status, error)
}

// Directory gives orders to any target, through the host that holds it.
type Directory interface {
	// Status returns an answer that the target gave after the call began.
	Status(ctx context.Context, id topology.TargetID) (Status, error)
	Fence(ctx context.Context, id topology.TargetID, term uint64) (Status, error)
	Promote(ctx context.Context, id topology.TargetID, term uint64) (Status, error)
	Follow(ctx context.Context, id topology.TargetID, term uint64, primary topology.TargetID) (Status, error)
}
