package share

import "time"

const (
	// limitWindowCount and limitWindowTime are the least number of answers and the
	// least time after which the limit is adjusted: the mean of 16 answers of work
	// between 4.5 and 22 ms varies by about a tenth.
	limitWindowCount = 16
	limitWindowTime  = 100 * time.Millisecond
	// slowFactor is how many times the usual response time counts as a queue at the
	// target: with all hosts at twice the usual time, about as many statements wait at
	// the target as run.
	slowFactor = 2.0
	// maxDecrease is the least part of the limit that one adjustment leaves.
	maxDecrease = 0.5
	// busyDecrease is the part of the limit that is left after the target refused a
	// statement because its queue was full.
	busyDecrease = 0.7
	// baselinePeriod is the time after which a mean response time is no longer
	// compared with, one to two times over: the mix of statements changes, and a
	// target may have become slower for good.
	baselinePeriod = 60 * time.Second
)

// concurrencyLimit limits the statements that a pool has in flight at its target, by
// additive increase and multiplicative decrease from response times and refusals. It
// keeps the target's queue short, in which neither priority nor deadline counts. It
// has no lock and no clock.
type concurrencyLimit struct {
	value       float64
	windowStart time.Time
	count       int           // answers in this window
	sum         time.Duration // of their response times
	reached     bool          // the limit held a request back in this window
	busy        bool          // the target refused a statement in this window
	// baseline is the least mean response time of a window in the present and in the
	// previous baselinePeriod, 0 if there was none.
	baseline      [2]time.Duration
	baselineStart time.Time
	// slowness is the mean response time of the last window as a percentage of the usual
	// one, 0 if unknown.
	slowness   int
	slownessAt time.Time
}

// max returns how many statements may be in flight for a pool of the size.
func (l *concurrencyLimit) max(size int) int {
	if l.value == 0 { // before the first answer
		return max(size, 1)
	}
	return min(max(int(l.value), 1), max(size, 1))
}

// noteReached records that a request waits because of the limit.
func (l *concurrencyLimit) noteReached() { l.reached = true }

// observe records an answer of the target and its response time.
func (l *concurrencyLimit) observe(took time.Duration, busy bool, size int, now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart, l.baselineStart, l.value = now, now, float64(size)
	}
	l.busy = l.busy || busy
	if !busy {
		l.count++
		l.sum += took
	}
	elapsed := now.Sub(l.windowStart)
	if elapsed < limitWindowTime || l.count < limitWindowCount && !l.busy {
		return
	}
	l.adjust(size, now)
}

// adjust ends a window.
func (l *concurrencyLimit) adjust(size int, now time.Time) {
	if now.Sub(l.baselineStart) >= baselinePeriod {
		l.baseline[1], l.baseline[0], l.baselineStart = l.baseline[0], 0, now
	}
	factor := 1.0
	if l.count >= limitWindowCount {
		mean := l.sum / time.Duration(l.count)
		usual := l.usual()
		l.slowness, l.slownessAt = 0, now
		if usual > 0 {
			l.slowness = int(100 * mean / usual)
		}
		if usual > 0 && float64(mean) > slowFactor*float64(usual) {
			factor = max(slowFactor*float64(usual)/float64(mean), maxDecrease)
		}
		if l.baseline[0] == 0 || mean < l.baseline[0] {
			l.baseline[0] = mean
		}
	}
	if l.busy {
		factor = min(factor, busyDecrease)
	}
	switch {
	case factor < 1:
		l.value *= factor
	case l.reached:
		l.value++
	}
	l.value = min(max(l.value, 1), float64(max(size, 1)))
	l.windowStart, l.count, l.sum, l.reached, l.busy = now, 0, 0, false, false
}

// usual returns the response time without a queue at the target, 0 if unknown.
func (l *concurrencyLimit) usual() time.Duration {
	if l.baseline[1] == 0 || l.baseline[0] != 0 && l.baseline[0] < l.baseline[1] {
		return l.baseline[0]
	}
	return l.baseline[1]
}
