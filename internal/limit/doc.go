// Package limit implements admission control per customer and group. It bounds the
// concurrent statements, the queued statements and the statements per second. A
// statement over the limit is refused immediately with a retry time, and capacity
// is reserved for the retry.
//
// A customer's limits apply to the whole fleet. Each host starts with an equal
// share. Once a second, hosts that use more than a small fraction of their equal
// share report their demand to the customer's coordinator, a host selected by
// rendezvous hashing, and receive a share in proportion to it. A host that cannot
// reach the coordinator returns to the equal share.
package limit
