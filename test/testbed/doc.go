// Package testbed runs a complete deployment on loopback: hosts and stand-ins for
// targets and platform, each as a separate process, with fault-injecting proxies
// between them. Tests, the measure command and the quickstart use it.
//
// Each process has its own IP address in 127.0.0.0/8. Every connection between
// two processes goes through a Link: the client dials the link's address, and the
// link forwards the data to the server, subject to the injected delays and faults.
package testbed
