package retryafter

import "time"

const (
	// minWait is the shortest time that is told. An earlier return finds the same queue.
	minWait = 5 * time.Millisecond
	// firstStep is the time that is told first if the return of capacity can't be
	// predicted: some probes of a target.
	firstStep = 50 * time.Millisecond
	// maxStep bounds the doubled times. Callers have deadlines of about a second, and
	// should find returned capacity within the next second.
	maxStep = time.Second
	// forgetAfter is the time without refusals after which a reason is taken to have
	// ended, although nothing was served.
	forgetAfter = 2 * maxStep
)

// outlook is when capacity is expected again after refusals for one reason. The zero value
// means that nothing was refused since a statement was last served.
type outlook struct {
	at        time.Time     // when capacity is expected
	overdueAt time.Time     // when the first expectation, or the latest step, has failed
	step      time.Duration // 0: the driver's estimates are trusted
	refusedAt time.Time     // latest refusal
}

// expect records a refusal and returns when capacity is expected. in is the driver's
// estimate, 0 if there is none.
func (o *outlook) expect(now time.Time, in time.Duration) time.Time {
	recent := !o.refusedAt.IsZero() && now.Sub(o.refusedAt) <= forgetAfter
	o.refusedAt = now
	switch {
	case !recent && in > 0:
		o.step, o.at = 0, now.Add(in)
		o.overdueAt = o.at
	case !recent || !now.Before(o.overdueAt):
		o.step = min(max(2*o.step, firstStep), maxStep)
		o.at = now.Add(o.step)
		o.overdueAt = o.at
	case o.step == 0 && in > 0:
		o.at = now.Add(in)
	}
	if earliest := now.Add(minWait); o.at.Before(earliest) {
		return earliest
	}
	return o.at
}
