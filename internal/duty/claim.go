package duty

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Kind is the kind of the store's objects that hold claims, one per group.
const Kind = "nettlewalk-duties"

// Claim says who is responsible for a group. A higher token overrides.
type Claim struct {
	Group    topology.GroupID `json:"group"`
	Holder   topology.HostID  `json:"holder"` // address for other hosts
	Name     string           `json:"name"`   // of the host, for the platform
	Boot     uint64           `json:"boot"`   // incarnation of the holder's process
	Token    uint64           `json:"token"`
	Released bool             `json:"released,omitempty"` // the holder has left
}

const (
	// TakeoverAfter is how long a holder must have been silent on the hosts'
	// own paths before another takes its duty: five rounds of gossip.
	TakeoverAfter = 1500 * time.Millisecond
	// largeFleet is the number of hosts from which news of a holder take some
	// rounds of gossip to reach all; then it must be silent for twice as long.
	largeFleet = 12
	// OrderPending is how long after it was heard of last a holder's order may
	// still take effect: it gives none after 800 ms without contact, and an
	// order has its effect within 1.2 s.
	OrderPending = 2 * time.Second
	// unknownFor is how long a host waits for others to tell it of a claim before
	// it takes a duty of which it knows none: some rounds of gossip. When all
	// hosts start at once, each knows only a few others at first and would take
	// itself for the first of them.
	unknownFor = 800 * time.Millisecond
	// rankPause keeps hosts from racing for a duty: each rank waits so much
	// longer. A write to the store takes some milliseconds.
	rankPause = 300 * time.Millisecond
)

// situation is what a host knows when it decides about a group's duty.
type situation struct {
	connected bool // with hosts of most failure domains
	hosts     int  // that are live
	self      topology.HostID
	boot      uint64
	claim     Claim         // the zero claim: none is known
	heardAgo  time.Duration // since the holder was last heard of
	rank      int           // of this host among the live ones, 0 first
	waited    time.Duration // since this host could first have taken the duty
}

// decide tells whether the host should try to take the duty now.
func decide(s situation) bool {
	mine := s.claim.Holder == s.self && s.claim.Boot == s.boot && !s.claim.Released
	if mine || !s.connected {
		return false
	}
	patience := time.Duration(s.rank) * rankPause
	switch {
	case s.claim.Token == 0:
		return s.waited >= unknownFor+patience
	case s.claim.Released:
		return s.waited >= patience
	case s.claim.Holder == s.self: // an earlier process of this host held it
		return true
	}
	after := TakeoverAfter
	if s.hosts > largeFleet {
		after *= 2
	}
	return s.heardAgo >= after+patience
}
