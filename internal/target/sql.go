package target

// Control statements, in the simple query protocol. Each answers one row of
// text columns: target, role, term, primary, received, applied.
const (
	StatusSQL  = "SELECT * FROM nettlewalk_status()"
	FenceSQL   = "SELECT * FROM nettlewalk_fence(%d)"
	PromoteSQL = "SELECT * FROM nettlewalk_promote(%d)"
	FollowSQL  = "SELECT * FROM nettlewalk_follow(%d, '%s')"

	// LockSlotSQL answers 't' or 'f'. The lock lives as long as its connection.
	LockSlotSQL = "SELECT pg_try_advisory_lock(%d)"
	// EndSlotSQL ends the connection that holds the slot's lock.
	EndSlotSQL = "SELECT nettlewalk_end_slot(%d)"
)

// PositionParameter is the ParameterStatus in which a target reports the
// position of each commit that wrote, before the commit's ReadyForQuery.
const PositionParameter = "nettlewalk.position"

// SQLSTATEs that a target answers.
const (
	StateStaleTerm          = "NW001" // an order of a lower term
	StateNotPrimary         = "25006" // a write at a replica or fenced target, not run
	StateTooManyConnections = "53300"
)

// ErrStaleTerm is returned for an order of a lower term than the target's.
type ErrStaleTerm struct{ Detail string }

func (e *ErrStaleTerm) Error() string { return "stale term: " + e.Detail }
