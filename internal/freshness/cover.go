package freshness

import (
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// RecordLeaderPosition records a position that a target reported while it was
// proved to lead, in answer to a request sent at sent.
func (a *Anchors) RecordLeaderPosition(sent time.Time, p topology.Position) {
	a.add(anchor{Sent: sent, Position: p})
}

// CoveringPosition returns a position that includes every commit acknowledged
// before since, or false if none is known. It is the oldest position that was
// requested at since or later, as replicas are most likely to have applied that
// one.
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

// Forget drops all anchors. A change of primary may have rolled back positions
// that they name, which no replica would ever reach then.
func (a *Anchors) Forget() { a.list = a.list[:0] }
