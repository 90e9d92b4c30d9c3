// Package limit bounds what a customer has under way in a group: statements at
// once, statements that wait, and statements a second. What is over the limit
// is refused at once, with a time to come back at which there is room.
//
// A customer's limit is for the whole fleet. Each host begins with an equal
// share of it. Hosts that use more than a small part of theirs tell their
// demand to the customer's coordinator, a host found by rendezvous, once a
// second, and get a share in proportion. A host that can't reach the
// coordinator goes back to the equal share.
package limit
