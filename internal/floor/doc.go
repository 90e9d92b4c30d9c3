// Package floor tracks the floors of identified sessions, for read-your-writes
// consistency. The floor of a session is the position of its last acknowledged
// write. No host may serve a read of the session from a target that has not
// applied the floor.
//
// The keeper of a session is the host that holds one slot of the group's primary;
// a hash of the session id selects the slot. All writes of the session go through
// the keeper. It may answer only while no other host can be the keeper, so it
// verifies two conditions after each query arrives:
//
//   - it still holds the slot's lock at the primary, and
//   - a majority of the group's targets know no higher term than the primary's.
//
// After a commit, and before the write is acknowledged, the lock is verified again
// and the keeper records the commit's position. Every write that an earlier keeper
// acknowledged therefore precedes the time at which the present keeper took the
// lock. The present keeper reads the primary's position after that time and uses
// it as the base of its table: the floor of every session without an entry.
//
// Hosts are assumed to agree on the number of slots of a target. While a change of
// that number propagates, a session that moves to another slot may get a floor
// below a write that was made in the meantime.
package floor
