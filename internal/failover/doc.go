// Package failover confirms commits and replaces the primary of a group when
// the primary cannot serve.
//
// The decisions are made without I/O: Confirmed evaluates a commit from the
// statuses of the targets, and a Machine decides for one group on one host from
// timestamped events. The Monitor runs the machines and carries out their
// actions.
//
// # Phases of a machine
//
//	steady      the primary answers; targets at older terms are told to follow it
//	suspect     a request to the primary failed or timed out; a new connection is tried
//	asking      pre-vote: the other hosts that watch the group are asked for their opinion
//	waiting     this host waits for the hosts that rank before it
//	handover    a leaving primary is fenced and a replica catches up with it
//	fencing     a majority of the targets is fenced at a new term
//	promoting   the most advanced fenced target is promoted
//	backing off another host was faster or an order failed; steady follows
//
// Each target accepts one fence per term, so at most one host fences a majority
// at a term, and that host promotes one target. A commit is confirmed when a
// majority of the targets has the commit's entry and is at its term. Every later
// majority of fenced targets shares a target with that majority, and the position
// of the shared target is at or past the commit. The most advanced fenced target
// therefore has the commit. Safety does not depend on clocks: time only decides
// when to attempt a failover.
package failover
