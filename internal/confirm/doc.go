// Package confirm makes sure that every commit which callers hear of survives promotions.
//
// A target acknowledges a commit once a replica has it, and no host may know that replica.
// Callers hear of a commit only through a host, so a host passes it on only after most of
// the group's voters have recorded its position. Voters are processes of hosts; the list of
// them, the Electorate, stands in the claim on the group's duty and changes only by a
// conditional write to the store.
//
// Before a promotion the holder of the duty seals the electorate: a sealed voter records
// nothing any more. Once so many voters are sealed that the others are no quorum, no host
// passes on a commit, and the newest recorded position is the one that the promoted target
// must have reached. When a leader is proved to lead and no other target may be promoted,
// the holder opens the voters for commits of the leader's term.
//
// A voter keeps its state in memory. A process that has restarted is no voter; another one
// takes its place in the next epoch, whose floor is what the earlier voters had recorded.
package confirm
