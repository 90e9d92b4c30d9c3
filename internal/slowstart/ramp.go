// Package slowstart decides how much of its usual reads a target gets after it returned:
// it became reachable again, was restarted or promoted, or answers again after errors. A
// target with empty caches answers several times as slowly as usual. At its full share of
// reads its queue fills, it refuses, and it looks as if it had failed again.
package slowstart

import "time"

const (
	// initialWeight is the part of its usual reads that a target gets at once.
	initialWeight = 0.1
	// usualDuration is how long the weight rises after a return. Targets are warm within
	// one or two seconds of load, and the others carry its reads that long without
	// missing goals.
	usualDuration = 2 * time.Second
	// maxDuration and flapPeriod bound the effect of a target that returns again and
	// again: each return within flapPeriod of the last one doubles the duration.
	maxDuration = 8 * time.Second
	flapPeriod  = 30 * time.Second
	// fastPace and slowPace multiply the pace of the rise while answers are as fast as
	// usual, and while they are slower than slowFactor times that.
	fastPace, slowPace     = 2, 0.5
	fastFactor, slowFactor = 1.25, 2
	// usualWeight and recentWeight are the weights of one answer in the mean time of
	// answers while the weight is whole, and during the rise.
	usualWeight, recentWeight = 1.0 / 64, 1.0 / 4
)

// Ramp is the weight of one target. The zero value is a target that didn't return recently.
// It is not safe for concurrent use.
type Ramp struct {
	rising     bool
	progress   float64 // from 0 to 1 while rising
	updatedAt  time.Time
	duration   time.Duration
	returnedAt time.Time // the latest return
	usual      float64   // mean seconds of an answer while the weight is whole, 0: unknown
	recent     float64   // mean seconds of an answer during this rise, 0: no answer yet
}

// Return records that the target returned. cold is how long it says that it stays cold, 0
// if it doesn't say. It returns how long the weight rises.
func (r *Ramp) Return(now time.Time, cold time.Duration) time.Duration {
	duration := max(usualDuration, cold)
	if !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < flapPeriod {
		duration = max(duration, min(2*r.duration, maxDuration))
	}
	r.rising, r.progress, r.recent = true, 0, 0
	r.duration, r.returnedAt, r.updatedAt = duration, now, now
	return duration
}

// Answer records how long the target took for an answer.
func (r *Ramp) Answer(now time.Time, took time.Duration) {
	r.advance(now)
	mean, weight := &r.usual, usualWeight
	if r.rising {
		mean, weight = &r.recent, recentWeight
	}
	if *mean == 0 {
		*mean = took.Seconds()
		return
	}
	*mean += weight * (took.Seconds() - *mean)
}

// Weight returns the part of its usual reads that the target gets.
func (r *Ramp) Weight(now time.Time) float64 {
	r.advance(now)
	if !r.rising {
		return 1
	}
	return initialWeight + (1-initialWeight)*r.progress
}

// advance moves the progress to now.
func (r *Ramp) advance(now time.Time) {
	if !r.rising || !now.After(r.updatedAt) {
		return
	}
	r.progress += r.pace() * now.Sub(r.updatedAt).Seconds() / r.duration.Seconds()
	r.updatedAt = now
	r.rising = r.progress < 1
}

// pace returns how fast the weight rises, 1 for the full rise in the duration.
func (r *Ramp) pace() float64 {
	switch {
	case r.usual == 0 || r.recent == 0:
		return 1
	case r.recent <= r.usual*fastFactor:
		return fastPace
	case r.recent > r.usual*slowFactor:
		return slowPace
	}
	return 1
}

// Normalize divides weights by the largest one, so that of targets that returned together
// none is held off. It changes weights.
func Normalize(weights []float64) {
	largest := 0.0
	for _, w := range weights {
		largest = max(largest, w)
	}
	for i := range weights {
		if largest > 0 {
			weights[i] /= largest
		}
	}
}
