// Package freshness computes upper bounds on the staleness of replicas, without
// synchronized clocks: each host asks a group's primary for its position from
// time to time, and records when it asked.
//
// A group is polled only while the age of its data is requested; polling stops
// after idleTimeout without a request.
package freshness

import (
	"slices"
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const maxAnchors = 512 // beyond it older anchors are thinned out, which can only make ages larger

// anchor records that the primary was at Position at some time after Sent.
type anchor struct {
	Sent     time.Time // when the position was requested, on this host's monotonic clock
	Position topology.Position
}

// Anchors is this host's record of one group's primary positions over time. The
// zero value is empty. It is not safe for concurrent use.
type Anchors struct {
	term uint64
	list []anchor // ascending in both fields
}

// RecordStatus records the answer to a status request. sent is when the request
// was sent. It returns false if the target wasn't the primary of the highest known term.
func (a *Anchors) RecordStatus(sent time.Time, status target.Status) bool {
	if status.Role != target.Primary || status.Term < a.term {
		return false
	}
	a.term = status.Term
	a.add(anchor{Sent: sent, Position: status.Applied})
	return true
}

// add appends an anchor and keeps the list ascending. It drops earlier anchors
// at or past the new position, since the new one gives a tighter bound.
func (a *Anchors) add(newest anchor) {
	if len(a.list) > 0 && newest.Sent.Before(a.list[len(a.list)-1].Sent) {
		return // answers came out of order
	}
	for len(a.list) > 0 && a.list[len(a.list)-1].Position.AtLeast(newest.Position) {
		a.list = a.list[:len(a.list)-1]
	}
	a.list = append(a.list, newest)
	if len(a.list) > maxAnchors {
		a.thin()
	}
}

// thin drops every second anchor of the older half.
func (a *Anchors) thin() {
	half := len(a.list) / 2
	kept := a.list[:0]
	for i, entry := range a.list {
		if i >= half || i%2 == 0 {
			kept = append(kept, entry)
		}
	}
	a.list = slices.Clip(kept)
}

// Age returns an upper bound on how stale data at the position is, or false if
// no bound is known. The bound grows with time while no anchors are added.
func (a *Anchors) Age(applied topology.Position, now time.Time) (time.Duration, bool) {
	firstAhead := sort.Search(len(a.list), func(i int) bool {
		return !applied.AtLeast(a.list[i].Position)
	})
	if firstAhead == 0 {
		return 0, false
	}
	return now.Sub(a.list[firstAhead-1].Sent), true
}
