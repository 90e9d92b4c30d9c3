package catalog

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowFleet simulates the fleet of gossipFleet with reads that take readTime.
type slowFleet struct {
	hosts      []readScheduler
	knownReads []time.Time
	sentAt     []time.Time // of the read in progress, zero if there is none
	readTime   time.Duration
	reads      int
}

func newSlowFleet(hosts int, readTime time.Duration, start time.Time) *slowFleet {
	f := &slowFleet{knownReads: make([]time.Time, hosts), sentAt: make([]time.Time, hosts), readTime: readTime}
	for range hosts {
		f.hosts = append(f.hosts, readScheduler{schedule: ConfigurationSchedule(5 * time.Second), startedAt: start})
	}
	return f
}

func (f *slowFleet) run(start time.Time, seconds int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for tick := range seconds * 10 {
		now := start.Add(time.Duration(tick) * pollCheckInterval)
		for i := range f.hosts {
			f.step(i, now)
			if (tick+i)%3 != 0 {
				continue
			}
			for range 3 {
				f.knownReads[i] = later(f.knownReads[i], f.knownReads[rng.IntN(len(f.knownReads))])
			}
		}
	}
}

// step begins or ends the read of one host.
func (f *slowFleet) step(i int, now time.Time) {
	switch {
	case f.sentAt[i].IsZero() && f.hosts[i].due(f.knownReads[i], i, now):
		f.sentAt[i] = now
		f.reads++
	case !f.sentAt[i].IsZero() && now.Sub(f.sentAt[i]) >= f.readTime:
		f.hosts[i].recordRead(true, f.sentAt[i], now)
		f.knownReads[i], f.sentAt[i] = later(f.knownReads[i], f.sentAt[i]), time.Time{}
	}
}

// Hosts that wait for a long read of the first readers must not all begin one of their
// own.
func TestReadRateIndependentOfFleetSizeWithLongReads(t *testing.T) {
	const seconds = 60
	for _, readTime := range []time.Duration{300 * time.Millisecond, 1840 * time.Millisecond} { // 14,000 routes take 1.84 s at 10 Mbit/s
		start := time.Unix(1000, 0)
		f := newSlowFleet(86, readTime, start)
		f.run(start, seconds)
		comment := qt.Commentf("%d reads of %s", f.reads, readTime)
		t.Log(comment)
		qt.Check(t, f.reads <= 2*seconds, qt.IsTrue, comment)
	}
}
