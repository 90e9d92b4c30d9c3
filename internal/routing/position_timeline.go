package routing

import (
	"slices"
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const maxPositions = 256 // positions kept per group

// positionTimeline records when this host first learned of positions of a
// group, from responses to writes and from floors. It is not safe for
// concurrent use.
type positionTimeline struct {
	entries []timelineEntry // ascending in both fields
}

type timelineEntry struct {
	Position topology.Position
	At       time.Time
}

// add records a position that exists by now.
func (t *positionTimeline) add(pos topology.Position, now time.Time) {
	if n := len(t.entries); n > 0 && t.entries[n-1].Position.AtLeast(pos) {
		return
	}
	if len(t.entries) == maxPositions {
		t.entries = slices.Delete(t.entries, 0, maxPositions/2)
	}
	t.entries = append(t.entries, timelineEntry{Position: pos, At: now})
}

// existedBy returns a time by which the position existed, and false if none is
// known.
func (t *positionTimeline) existedBy(pos topology.Position) (time.Time, bool) {
	i := sort.Search(len(t.entries), func(i int) bool { return t.entries[i].Position.AtLeast(pos) })
	if i == len(t.entries) {
		return time.Time{}, false
	}
	return t.entries[i].At, true
}

// lagLowerBound returns a lower bound on the lag of a target that has applied
// nothing past the given position.
func (t *positionTimeline) lagLowerBound(applied topology.Position, now time.Time) time.Duration {
	i := sort.Search(len(t.entries), func(i int) bool { return !applied.AtLeast(t.entries[i].Position) })
	if i == len(t.entries) {
		return 0
	}
	return now.Sub(t.entries[i].At)
}
