package locality

import "time"

// observedWeight is the weight of one measurement in an average. Single statements
// differ by more than a crossing costs, so that an average over fewer of them makes
// work leave a domain in which nobody waits.
const observedWeight = 1.0 / 8

// Observed is a moving average of the time to the answer, with the time of the
// newest measurement.
type Observed struct {
	mean  time.Duration
	count uint64
	at    time.Time // zero: nothing was measured
}

// Add adds a measurement.
func (o *Observed) Add(took time.Duration, now time.Time) {
	o.count++
	o.mean += time.Duration(max(observedWeight, 1/float64(o.count)) * float64(took-o.mean))
	if now.After(o.at) {
		o.at = now
	}
}

// Figure returns the average as an input of Share.Update.
func (o *Observed) Figure() Figure { return Figure{Expected: o.mean, MeasuredAt: o.at} }

// Meter measures the bytes of a statement that crosses domains, from what is sent
// and received.
type Meter struct {
	mean  float64
	count uint64
}

// meterWeight is the weight of one statement in the average of the bytes, so that
// it covers the last 64 or so.
const meterWeight = 1.0 / 64

// Add adds the bytes of one statement: request, replayed session state and answer.
func (m *Meter) Add(bytes int) {
	m.count++
	m.mean += max(meterWeight, 1/float64(m.count)) * (float64(bytes) - m.mean)
}

// Mean returns the average bytes of a statement, 0 before the first.
func (m *Meter) Mean() float64 { return m.mean }
