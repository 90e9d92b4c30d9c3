// Package promotion replaces the primary of a group whose targets acknowledge a
// commit once a number of replicas has received it, and where the platform
// carries out the promotion.
//
// Next decides one step from what was just seen; it is pure. A Watcher looks,
// takes the step and looks again, on the one host that holds the group's duty.
//
// A promotion loses no acknowledged commit if the promoted target has received
// all of them. So every other replica is paused first: from then on, only the
// candidate can help to acknowledge a commit, and what was acknowledged before
// is no further than the end of the paused logs, which the candidate must have
// reached. A replica that can't be paused may have acknowledged more; fewer of
// these must be left than a commit needs.
package promotion
