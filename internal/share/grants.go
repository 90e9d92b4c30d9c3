package share

import "time"

const (
	// grantsKept is how many grants are remembered: enough for a share to the
	// nearest sixtieth, few enough to walk through for each request that must wait.
	grantsKept = 64
	// grantsFor is how long a grant says something about the load: the time in
	// which the load of a second's burst has come and gone.
	grantsFor = 1 * time.Second
	// leastLeft bounds the share of the connections' time that is taken to be left
	// for the less urgent: that of the few grants remembered none was theirs
	// doesn't say that none will be.
	leastLeft = 0.05
)

// grant is a connection that a request of a priority got.
type grant struct {
	priority int
	at       time.Time
}

// grants remembers who got the last connections, to foresee how much of the
// connections' time goes to requests that are more urgent than one that waits.
// It is a plain value without lock or clock.
type grants struct {
	ring [grantsKept]grant
	next int
}

func (g *grants) add(priority int, now time.Time) {
	g.ring[g.next] = grant{priority, now}
	g.next = (g.next + 1) % grantsKept
}

// left returns which share of the time of so many connections, above 0 and at
// most 1, requests leave that are more urgent than the priority and that hold a
// connection for so long on average.
func (g *grants) left(priority, connections int, hold time.Duration, now time.Time) float64 {
	span, overtaking := grantsFor, 0
	if oldest := g.ring[g.next].at; now.Sub(oldest) < grantsFor {
		span = max(now.Sub(oldest), time.Millisecond) // the ring holds less than grantsFor
	}
	for _, one := range g.ring {
		if now.Sub(one.at) < grantsFor && one.priority < priority {
			overtaking++
		}
	}
	used := float64(overtaking) * hold.Seconds() / span.Seconds() / float64(max(connections, 1))
	return max(leastLeft, 1-used)
}
