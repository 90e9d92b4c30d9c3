// Package freshness bounds how stale a replica's data is, without clocks that
// agree between hosts: each host asks a group's primary for its position now
// and then, and keeps when it asked.
//
// A group's poller is idle until somebody asks for an age. It then polls until
// nobody has asked for a while.
package freshness

import (
	"slices"
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const maxAnchors = 512 // older ones are thinned out, which only makes ages greater

// anchor says that the primary was at Position some time after Sent.
type anchor struct {
	Sent     time.Time // on this host's monotonic clock
	Position topology.Position
}

// Anchors is what a host learned of one group's primary. The zero value knows
// nothing. Not safe for concurrent use.
type Anchors struct {
	term uint64
	list []anchor // ascending in both fields
}

// Learn takes the answer to a position request that was sent at that time. It
// returns false when the target wasn't the primary of the highest term known.
func (a *Anchors) Learn(sent time.Time, s target.Status) bool {
	if s.Role != target.Primary || s.Term < a.term {
		return false
	}
	a.term = s.Term
	a.add(anchor{Sent: sent, Position: s.Applied})
	return true
}

// add keeps the list ascending. An anchor at or past the new position that was
// asked for earlier says less than the new one.
func (a *Anchors) add(n anchor) {
	if len(a.list) > 0 && n.Sent.Before(a.list[len(a.list)-1].Sent) {
		return // answers came out of order
	}
	for len(a.list) > 0 && a.list[len(a.list)-1].Position.AtLeast(n.Position) {
		a.list = a.list[:len(a.list)-1]
	}
	a.list = append(a.list, n)
	if len(a.list) > maxAnchors {
		a.thin()
	}
}

// thin drops every second anchor of the older half.
func (a *Anchors) thin() {
	half := len(a.list) / 2
	kept := a.list[:0]
	for i, n := range a.list {
		if i >= half || i%2 == 0 {
			kept = append(kept, n)
		}
	}
	a.list = slices.Clip(kept)
}

// Age returns an upper bound on how stale data at the position is, or false if
// none is known. Without new anchors it grows with time.
func (a *Anchors) Age(applied topology.Position, now time.Time) (time.Duration, bool) {
	past := sort.Search(len(a.list), func(i int) bool {
		return !applied.AtLeast(a.list[i].Position)
	})
	if past == 0 {
		return 0, false
	}
	return now.Sub(a.list[past-1].Sent), true
}
