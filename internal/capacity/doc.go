// Package capacity divides what one target can run between the hosts that hold
// connections to it. It handles overload of a target: requests wait at the hosts, where
// priority, deadline and customer count, rather than in the target's queue, and a host
// doesn't wait while another one leaves its part unused.
//
// Target (capacity and allocations) and Allowance (what a host may have in flight) are
// pure: time and messages are arguments. Coordinator connects them to the peer calls.
// docs/design/target-capacity.md has the rules and the failures.
package capacity
