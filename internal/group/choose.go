package group

import (
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Candidate describes a target that may serve a read, as far as this host
// knows.
type Candidate struct {
	ID         topology.TargetID
	IsLeader   bool
	SameDomain bool // in this host's failure domain
	Leaving    bool
	Failing    bool // a connection to it broke recently
	Lagging    bool // recently lacked a required position
	HeldOff    bool // another target is to serve this read: slow start, or ejected
	Probe      bool // ejected, and this read is to show whether it has recovered
	Open       int  // this host's open connections to it
	Idle       int
	Waiting    int
	Latency    time.Duration // moving average of its response times
	// Delay is how long the customer is expected to wait for a connection of its own:
	// 0 if one is idle, or if connections don't belong to customers.
	Delay time.Duration
}

const (
	// crossDomainPenalty is the additional latency of a round trip to another
	// failure domain. The value is that of the users' deployments.
	crossDomainPenalty = 2500 * time.Microsecond
	// leaderPenalty steers reads away from the leader, which has to process
	// the writes.
	leaderPenalty = 3 * time.Millisecond
)

// Order returns the candidates in the order in which a read that any of them
// may serve should try them: by rank, then by expected latency. A probed
// candidate comes first; held-off, lagging, leaving and failing candidates come
// last, in this order. Order drops candidates without open connections, and
// leaving ones unless they lead or are the only candidate.
func Order(candidates []Candidate) []Candidate {
	eligible := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Open > 0 && !(c.Leaving && len(candidates) > 1 && !c.IsLeader) {
			eligible = append(eligible, c)
		}
	}
	sort.SliceStable(eligible, func(i, j int) bool {
		if a, b := eligible[i].rank(), eligible[j].rank(); a != b {
			return a < b
		}
		return eligible[i].expectedLatency() < eligible[j].expectedLatency()
	})
	return eligible
}

// rank orders candidates by their state; lower ranks are tried first.
func (c *Candidate) rank() int {
	switch {
	case c.Failing:
		return 4
	case c.Leaving:
		return 3
	case c.Lagging:
		return 2
	case c.HeldOff:
		return 1
	case c.Probe:
		return -1
	}
	return 0
}

// expectedLatency estimates the time until the target answers a read.
func (c *Candidate) expectedLatency() time.Duration {
	busy := c.Open - c.Idle + c.Waiting
	cost := c.Latency + c.Latency*time.Duration(busy)/time.Duration(c.Open)
	if c.Idle == 0 {
		cost += c.Latency
	}
	cost += c.Delay
	if !c.SameDomain {
		cost += crossDomainPenalty
	}
	if c.IsLeader {
		cost += leaderPenalty
	}
	return cost
}
