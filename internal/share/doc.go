// Package share keeps a host's share of one target's connections. They stay
// open, since a new one takes work slots from requests; requests wait for one
// in the order of their priority, and are refused at once where the wait would
// be longer than they can use.
//
// Plan divides a target's limit among the hosts. queue holds who waits. Pool
// drives both.
package share
