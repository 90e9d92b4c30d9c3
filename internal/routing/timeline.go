package routing

import (
	"slices"
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const maxHeard = 256 // positions remembered per group

// timeline remembers when this host first heard of positions of a group, in
// answers to writes and in floors. Not safe for concurrent use.
type timeline struct {
	heard []heardAt // ascending in both fields
}

type heardAt struct {
	Position topology.Position
	At       time.Time
}

// hear notes a position that exists by now.
func (l *timeline) hear(pos topology.Position, now time.Time) {
	if n := len(l.heard); n > 0 && l.heard[n-1].Position.AtLeast(pos) {
		return
	}
	if len(l.heard) == maxHeard {
		l.heard = slices.Delete(l.heard, 0, maxHeard/2)
	}
	l.heard = append(l.heard, heardAt{Position: pos, At: now})
}

// existedBy returns a time by which the position existed, false if none is known.
func (l *timeline) existedBy(pos topology.Position) (time.Time, bool) {
	i := sort.Search(len(l.heard), func(i int) bool { return l.heard[i].Position.AtLeast(pos) })
	if i == len(l.heard) {
		return time.Time{}, false
	}
	return l.heard[i].At, true
}

// behind returns a lower bound on how far behind a target is that has applied
// no more than the position.
func (l *timeline) behind(applied topology.Position, now time.Time) time.Duration {
	i := sort.Search(len(l.heard), func(i int) bool { return !applied.AtLeast(l.heard[i].Position) })
	if i == len(l.heard) {
		return 0
	}
	return now.Sub(l.heard[i].At)
}
