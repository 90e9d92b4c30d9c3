package limit

import (
	"math"
	"slices"
	"time"
)

const (
	earlyRetryTolerance = 10 * time.Millisecond  // a retry may come this much before its time
	reservationGrace    = 250 * time.Millisecond // a reservation is kept this long past its time
	claimRateWeight     = 0.05                   // weight of the latest reservation in claimRate
)

// RetryState holds the retry time that was given to one connection of a customer in
// a group. No capacity is reserved for the zero value.
type RetryState struct {
	tracked bool
	retryAt time.Time
}

// NewRetryState returns the state of a new connection, for whose retries capacity
// is reserved.
func NewRetryState() *RetryState { return &RetryState{tracked: true} }

// reservations holds the retry times given to refused callers. Capacity is reserved
// for the fraction of them that is expected to retry on time.
type reservations struct {
	times     []time.Time // sorted
	claimRate float64     // moving average of the fraction of reservations that are claimed
}

// add adds a reservation at the given time.
func (r *reservations) add(at time.Time) {
	i, _ := r.find(at)
	r.times = slices.Insert(r.times, i, at)
}

// claim removes a reservation and reports whether it was still held.
func (r *reservations) claim(at time.Time) bool {
	i, found := r.find(at)
	if found {
		r.times = slices.Delete(r.times, i, i+1)
		r.claimRate += claimRateWeight * (1 - r.claimRate)
	}
	return found
}

// expectedClaims returns how many callers are expected to claim reservations that
// are due before until. It first removes expired reservations.
func (r *reservations) expectedClaims(now, until time.Time) int {
	expired, _ := r.find(now.Add(-reservationGrace))
	for range expired {
		r.claimRate -= claimRateWeight * r.claimRate
	}
	r.times = slices.Delete(r.times, 0, expired)
	n, _ := r.find(until)
	return int(math.Round(float64(n) * r.claimRate))
}

// find returns the index of the first reservation not before at, and whether its
// time is exactly at.
func (r *reservations) find(at time.Time) (int, bool) {
	return slices.BinarySearchFunc(r.times, at, time.Time.Compare)
}
