// Package floor keeps the floors of identified sessions: the position of each
// session's last acknowledged write, below which none of its reads may be
// served, whichever host serves them.
//
// The keeper of a session is the holder of one slot of the group's primary;
// the session's id selects the slot. All writes of the session pass it. It may
// answer only while nobody else can be the keeper. That rests on two facts,
// both established after the question came:
//
//   - the slot's lock at the primary is still this host's, and
//   - a majority of the group's targets know no higher term than the primary's.
//
// The lock is checked once more after a commit, and the keeper records it, before
// the write is acknowledged. So each write that was acknowledged by an earlier
// keeper lies before the moment at which the present one got the lock. The
// table begins with the primary's position at a later moment as its base: the
// answer for a session that it doesn't know.
//
// Assumption: hosts agree on the number of a target's slots. While an edit of
// that number spreads, sessions that the edit moves to another slot may be
// told a floor below a write that was made meanwhile.
package floor
