package freshness

import (
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// LearnLeading takes a position that a target reported while it was proved to
// lead, from a request sent at that time.
func (a *Anchors) LearnLeading(sent time.Time, p topology.Position) {
	a.add(anchor{Sent: sent, Position: p})
}

// Cover returns a position that includes every commit acknowledged before
// since: the oldest one asked for at since or later, which replicas are the
// most likely to have applied. False: none is known.
func (a *Anchors) Cover(since time.Time) (topology.Position, bool) {
	i := sort.Search(len(a.list), func(i int) bool { return !a.list[i].Sent.Before(since) })
	if i == len(a.list) {
		return topology.Position{}, false
	}
	return a.list[i].Position, true
}

// Latest returns when the newest anchor was asked for.
func (a *Anchors) Latest() (time.Time, bool) {
	if len(a.list) == 0 {
		return time.Time{}, false
	}
	return a.list[len(a.list)-1].Sent, true
}

// Forget drops all anchors. A change of the primary may have rolled back what
// they name, and no replica would ever have it.
func (a *Anchors) Forget() { a.list = a.list[:0] }
