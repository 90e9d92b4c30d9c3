// Package promotion replaces the primary of a group. It covers groups whose
// targets acknowledge a commit once a number of replicas has received it, and
// whose platform carries out the promotion.
//
// NextStep is a pure function that decides one step from the latest probe
// results. A Watcher runs on the one host that holds the group's duty (see package
// duty): it probes the targets, performs the step and starts over.
//
// A promotion loses no acknowledged commit if the promoted target has received
// all of them. Therefore every other replica is paused first. From then on, only
// the candidate can help to acknowledge a commit, and commits acknowledged earlier
// are contained in the logs of the paused replicas, whose end the candidate must
// have reached. A replica that can't be paused may have received more. The number
// of such replicas must be lower than the number that acknowledges a commit. One
// that had ended before the leader had a position that the candidate has reached doesn't
// count. Whether it has ended is concluded from what other hosts tell: see judgeEnd.
package promotion
