// Package duty keeps one host at a time responsible for a group. The holder and
// a fencing token stand in an object of the platform's store, written only
// under the condition that nobody wrote it meanwhile. Hosts tell each other
// what they know of it, so that the holder works on while the store is down.
//
// decide is the pure part; Keeper drives it.
package duty
