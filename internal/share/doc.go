// Package share maintains this host's share of the connections to one target.
// Connections stay open, since opening one takes work slots of the target away
// from requests. Requests wait for a connection in order of their priority, and
// are refused at once if the expected wait is longer than they can use.
//
// Plan divides a target's connection limit among the hosts. waitQueue holds the
// waiting requests. Pool drives both.
package share
