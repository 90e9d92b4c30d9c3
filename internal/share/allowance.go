package share

import "time"

// LingerTime is how long a target keeps the connections of a host that lost power or was
// cut off, plus a margin.
const LingerTime = 3300 * time.Millisecond

const (
	// smallFleet is the number of hosts up to which a connection of each is certainly
	// within a target's limit.
	smallFleet = 12
	// firstListTime is how long a host's list must have been unchanged before it opens a
	// first connection in a larger fleet while all hosts start: two rounds of gossip.
	// Without it, 139 hosts that knew a part of the others wanted up to 87 connections
	// within a limit of 73.
	firstListTime = 600 * time.Millisecond
)

// Fleet is what a host knows of the hosts that share the connections to the targets.
type Fleet struct {
	Hosts  int // including this one
	Recent int // those of them, including this one, that aren't known to have been up for LingerTime
	// JoinedFor is the time since this host first heard from another one. It is negative
	// while it still waits for that.
	JoinedFor time.Duration
	Unchanged time.Duration // time since the list of hosts last changed
}

// Planned is the part of a target's connections that a host has by the plan for its fleet.
type Planned struct {
	Size   int  // connections of each holder
	Holder bool // this host holds connections
}

// Allowed returns how many connections to a target a host keeps open now, so that all hosts
// together stay within the target's limit while they start.
func Allowed(limit int, p Planned, f Fleet) int {
	switch {
	case !p.Holder, f.JoinedFor < 0:
		return 0
	case f.JoinedFor >= LingerTime:
		return p.Size
	case f.Recent < f.Hosts:
		return restartedSize(limit, p.Size, f)
	case f.Hosts > smallFleet && f.Unchanged < firstListTime:
		return 0
	}
	return 1 // all hosts are starting; the target may still have what their earlier processes held
}

// restartedSize returns the number of connections that a host may open which has joined
// running ones. The target may still have those of an earlier process of each recent host.
// In a fleet too large for a connection of each host, it therefore waits for LingerTime. By
// then the hosts that held the connections before it have also learned of it.
func restartedSize(limit, size int, f Fleet) int {
	within := min(size, (limit-f.Hosts*size)/f.Recent)
	if 2*f.Hosts <= limit {
		return max(within, 1) // one connection of each host and of its earlier process fit
	}
	return max(within, 0)
}
