package freshness

import (
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// RecordLeaderPosition records a position that a target reported while it was
// proved to lead. sent is when the position was requested.
func (a *Anchors) RecordLeaderPosition(sent time.Time, p topology.Position) {
	a.add(anchor{Sent: sent, Position: p})
}

// CoveringPosition returns a position that includes every commit acknowledged
// before the time since, or false if none is known. Of the positions requested
// at that time or later, it returns the oldest, as replicas are most likely to
// have applied that one.
func (a *Anchors) CoveringPosition(since time.Time) (topology.Position, bool) {
	i := sort.Search(len(a.list), func(i int) bool { return !a.list[i].Sent.Before(since) })
	if i == len(a.list) {
		return topology.Position{}, false
	}
	return a.list[i].Position, true
}

// Latest returns when the newest anchor was requested, or false if there is
// none.
func (a *Anchors) Latest() (time.Time, bool) {
	if len(a.list) == 0 {
		return time.Time{}, false
	}
	return a.list[len(a.list)-1].Sent, true
}

// Forget drops all anchors. It is called after a change of primary, which may
// have rolled back commits: no replica would ever reach the recorded positions.
func (a *Anchors) Forget() { a.list = a.list[:0] }
