package group

import (
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Candidate is a target that may serve a read, as far as is known.
type Candidate struct {
	ID      topology.TargetID
	Leads   bool
	Near    bool // in this host's failure domain
	Leaving bool
	Failing bool // its connections broke lately
	Lagging bool // lacked a position lately
	Open    int  // connections of this host
	Idle    int
	Waiting int
	Took    time.Duration // running mean of its answers
}

const (
	// farPenalty is what a round trip to another failure domain costs more
	// than one within, as measured between the users' domains.
	farPenalty = 2500 * time.Microsecond
	// leaderPenalty keeps reads off the target that has the writes to do.
	leaderPenalty = 3 * time.Millisecond
)

// Order returns the candidates in the order in which a read that may go to any
// of them tries them: by expected time to the answer. Targets that are leaving,
// failing or lag come last, and only if they lead or nobody else is left.
func Order(all []Candidate) []Candidate {
	list := make([]Candidate, 0, len(all))
	for _, c := range all {
		if c.Open > 0 && !(c.Leaving && len(all) > 1 && !c.Leads) {
			list = append(list, c)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		if a, b := list[i].rank(), list[j].rank(); a != b {
			return a < b
		}
		return list[i].cost() < list[j].cost()
	})
	return list
}

func (c *Candidate) rank() int {
	switch {
	case c.Failing:
		return 3
	case c.Leaving:
		return 2
	case c.Lagging:
		return 1
	}
	return 0
}

// cost is the expected time to the answer.
func (c *Candidate) cost() time.Duration {
	busy := c.Open - c.Idle + c.Waiting
	cost := c.Took + c.Took*time.Duration(busy)/time.Duration(c.Open)
	if c.Idle == 0 {
		cost += c.Took
	}
	if !c.Near {
		cost += farPenalty
	}
	if c.Leads {
		cost += leaderPenalty
	}
	return cost
}
