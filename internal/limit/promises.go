package limit

import (
	"math"
	"slices"
	"time"
)

const (
	promiseEarly = 10 * time.Millisecond  // before its time at which a promise already counts
	promiseGrace = 250 * time.Millisecond // after its time for which room is kept
	claimWeight  = 0.05                   // of the latest promise in the share that is claimed
)

// Caller is the memory of one connection: when it was told to come back. It
// belongs to one customer and group. For the zero value no room is kept.
type Caller struct {
	known    bool
	promised time.Time
}

// NewCaller returns the memory of a new connection.
func NewCaller() *Caller { return &Caller{known: true} }

// promises are the times at which refused callers were told to come back, in
// order. Room is kept for those of them that, going by the past, will come.
type promises struct {
	times   []time.Time
	claimed float64 // share of the promises that are claimed, of late
}

// add notes a promise.
func (p *promises) add(at time.Time) {
	i, _ := p.find(at)
	p.times = slices.Insert(p.times, i, at)
}

// claim removes a promise and tells whether it was still kept.
func (p *promises) claim(at time.Time) bool {
	i, found := p.find(at)
	if found {
		p.times = slices.Delete(p.times, i, i+1)
		p.claimed += claimWeight * (1 - p.claimed)
	}
	return found
}

// owed drops the promises whose grace is over and tells for how many callers
// room is to be kept up to a time.
func (p *promises) owed(now, until time.Time) int {
	first, _ := p.find(now.Add(-promiseGrace))
	for range first {
		p.claimed -= claimWeight * p.claimed
	}
	p.times = slices.Delete(p.times, 0, first)
	n, _ := p.find(until)
	return int(math.Round(float64(n) * p.claimed))
}

func (p *promises) find(at time.Time) (int, bool) {
	return slices.BinarySearchFunc(p.times, at, time.Time.Compare)
}
