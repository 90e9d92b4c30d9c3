package target

// Control statements, sent with the simple query protocol. The first four return
// one row of text columns: target, role, term, primary, received, applied.
const (
	StatusSQL  = "SELECT * FROM nettlewalk_status()"
	FenceSQL   = "SELECT * FROM nettlewalk_fence(%d)"
	PromoteSQL = "SELECT * FROM nettlewalk_promote(%d)"
	FollowSQL  = "SELECT * FROM nettlewalk_follow(%d, '%s')"

	// LockSlotSQL returns 't' or 'f'. The lock is held until its connection ends.
	LockSlotSQL = "SELECT pg_try_advisory_lock(%d)"
	// TerminateSlotHolderSQL terminates the connection that holds the slot's lock.
	TerminateSlotHolderSQL = "SELECT nettlewalk_end_slot(%d)"
)

// PositionParameter is the name of the ParameterStatus message in which a target
// reports the log position of each commit that wrote data, before the commit's
// ReadyForQuery.
const PositionParameter = "nettlewalk.position"

// SQLSTATE codes of a target's errors.
const (
	StateStaleTerm          = "NW001" // a control statement with a term lower than the target's
	StateNotPrimary         = "25006" // a write to a replica or fenced target; it was not executed
	StateTooManyConnections = "53300"
)

// ErrStaleTerm is returned when the target rejects the term of a control statement
// as stale.
type ErrStaleTerm struct{ Detail string }

func (e *ErrStaleTerm) Error() string { return "stale term: " + e.Detail }
