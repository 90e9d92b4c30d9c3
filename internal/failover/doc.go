// Package failover tells when a commit can't be lost any more, and changes the
// primary of a group whose primary can't serve.
//
// The decisions are pure: Confirmed judges a commit by the targets' statuses,
// and a Machine decides for one group on one host, from events with their time
// and without I/O. The Monitor drives them.
//
// # The machine
//
//	steady      the primary answers; targets of older terms are told to follow it
//	suspect     the primary failed or is silent; a new connection is tried
//	asking      the other hosts that watch the group are asked, as a pre-vote
//	waiting     this host's rank gives hosts before it time to act
//	handover    a leaving primary is fenced, a replica receives its last entries
//	fencing     a majority of the targets is fenced at a new term
//	promoting   the most advanced of the fenced targets is promoted
//	backing off a rival was faster or an order failed; then steady again
//
// Each target accepts a term's fence once, so at most one host gets a majority
// for a term, and it promotes one target. A commit is confirmed by a majority
// that has it while at the commit's term. Every later majority of fences has a
// target in common with it, whose position is at or past the commit's; so the
// most advanced fenced target has the commit. No clock is trusted for this:
// time only decides when to try.
package failover
