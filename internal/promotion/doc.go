// Package promotion replaces the primary of a group. It covers groups whose
// targets acknowledge a commit once a number of replicas has received it, and
// whose platform carries out the promotion.
//
// NextStep is a pure function that decides one step from the latest probe
// results. A Watcher runs on the one host that holds the group's duty (see package
// duty): it probes the targets, performs the step and starts over.
//
// A promotion loses no commit that callers have heard of if the promoted target has received
// what the group's voters recorded (see package confirm). If they can't tell, because most of
// them have ended, a position that a target which leads has told since covers it.
//
// Otherwise the logs of all targets decide. Every other replica is paused first. From then on, only
// the candidate can help to acknowledge a commit, and commits acknowledged earlier
// are contained in the logs of the paused replicas, whose end the candidate must
// have reached. A replica that can't be paused may have received more. The number
// of such replicas must be lower than the number that acknowledges a commit. One
// that was proved to have ended before the leader had a position that the candidate has reached doesn't
// count. That no host reaches it proves nothing: see judgeEnd.
package promotion
