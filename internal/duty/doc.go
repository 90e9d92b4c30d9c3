// Package duty elects one host per group to carry out the group's failover. This
// responsibility is the group's duty, and the elected host is its holder.
//
// A Claim records the holder together with a fencing token. It is an object in
// the platform's store and is written with compare-and-swap. Hosts also exchange
// claims by gossip, so the holder keeps working while the store is down.
//
// shouldAcquire and shouldHandOver are pure decision functions; Keeper runs them.
package duty
