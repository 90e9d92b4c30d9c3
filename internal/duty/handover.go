package duty

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/failover"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// minHoldTime is how long a host holds a duty before it may hand it over.
	// It exceeds five times TakeoverAfter, so that the hosts agree on the
	// holder first.
	minHoldTime = 8 * time.Second
	// keepAfterRequest is how long a holder keeps the duty after its last
	// promotion request: twice the time in which a request with a lost
	// response may still be carried out. The request relies on paused
	// replicas, and until then the holder must keep them paused.
	keepAfterRequest = 30 * time.Second
)

// electionRank returns the rank of self among the live hosts for a group's duty;
// 0 is first. Hosts in the failure domain of the group's primary rank last,
// because an outage of that domain would take them down together with the
// primary. primaryDomain is empty if it is unknown.
func electionRank(group topology.GroupID, self topology.HostID, live []topology.Host, primaryDomain topology.Domain) int {
	outside, inside := splitByDomain(live, primaryDomain)
	for _, id := range inside {
		if id == self {
			return len(outside) + failover.Rank(group, self, inside)
		}
	}
	return failover.Rank(group, self, outside)
}

// splitByDomain separates the hosts outside a failure domain from those inside.
// If the domain is empty, all hosts count as outside.
func splitByDomain(live []topology.Host, domain topology.Domain) (outside, inside []topology.HostID) {
	for _, h := range live {
		if domain != "" && h.Domain == domain {
			inside = append(inside, h.ID)
		} else {
			outside = append(outside, h.ID)
		}
	}
	return outside, inside
}

// handOverState is the input of shouldHandOver: what a holder knows when it
// decides whether to keep a duty.
type handOverState struct {
	inPrimaryDomain bool // the holder is in the failure domain of the group's primary
	hostsOutside    int  // number of live hosts outside that failure domain
	connected       bool // hosts in most failure domains answered recently
	heldFor         time.Duration
	hasRequested    bool          // the holder has sent a promotion request
	sinceRequest    time.Duration // time since the last request, if hasRequested
}

// shouldHandOver reports whether the holder should release the duty so that a host
// outside the primary's failure domain can acquire it.
func shouldHandOver(s handOverState) bool {
	switch {
	case !s.inPrimaryDomain, s.hostsOutside == 0, !s.connected:
		return false
	case s.hasRequested && s.sinceRequest < keepAfterRequest:
		return false
	}
	return s.heldFor >= minHoldTime
}
