// Package testbed starts the stand-ins and hosts as processes on loopback and
// joins every pair of them by a fault-injecting proxy. Tests, the measurement
// and the quickstart share it.
//
// Each process gets an IP number of its own in 127.0.0.0/8. Every pair of
// processes that talk has a Link: the viewer dials the link's address, and the
// link forwards to the other end with the delay, cut or silence in force.
package testbed
