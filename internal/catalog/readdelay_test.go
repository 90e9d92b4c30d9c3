package catalog

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A host must not take the age of a read for the time that it took, if it may have been
// able to learn of it earlier. It would wait too long for reads that have stopped.
func TestReadDelaysIgnoreReadsThatWereNotAwaited(t *testing.T) {
	start := time.Unix(1000, 0)
	var d readDelays
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	d.check(at(-3000), start, at(100)) // sent before this host started
	qt.Check(t, d.shortest(), qt.Equals, time.Duration(0))
	d.check(at(-3000), start, at(200))
	d.check(at(150), start, at(2200)) // this host was suspended in between
	qt.Check(t, d.shortest(), qt.Equals, time.Duration(0))
	d.check(at(150), start, at(2300))
	d.check(at(400), start, at(2400))
	qt.Check(t, d.shortest(), qt.Equals, 2*time.Second)
	d.recordOwn(at(3000), at(4840))
	qt.Check(t, d.shortest(), qt.Equals, 1840*time.Millisecond)
	for i := range readDelayCount {
		d.recordOwn(at(5000+100*i), at(5010+100*i))
	}
	qt.Check(t, d.shortest(), qt.Equals, 10*time.Millisecond)
}

// lossyFleet is a slowFleet whose hosts below lost stop after some time. News of a read
// spreads at every tick, as news of a change does.
type lossyFleet struct {
	*slowFleet
	lost   int
	lostAt time.Time
}

// run returns the largest age of what any host that was not lost knew.
func (f *lossyFleet) run(start time.Time, seconds int) (maxAge time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	for tick := range seconds * 10 {
		now := start.Add(time.Duration(tick) * pollCheckInterval)
		for i := range f.hosts {
			if i < f.lost && now.After(f.lostAt) {
				continue
			}
			f.step(i, now)
			for range 3 {
				f.knownReads[i] = later(f.knownReads[i], f.knownReads[rng.IntN(len(f.knownReads))])
			}
			if tick > 100 {
				maxAge = max(maxAge, now.Sub(f.knownReads[i]))
			}
		}
	}
	return maxAge
}

// Long reads must bring a change to all hosts within the bound of 5 s, also when the three
// designated readers are lost and the hosts still count them as readers.
func TestLongReadsBringChangesInTimeWithoutFirstReaders(t *testing.T) {
	for _, readTime := range []time.Duration{300 * time.Millisecond, time.Second, 1840 * time.Millisecond} {
		for _, lost := range []int{0, 1, ReaderCount} {
			start := time.Unix(1000, 0)
			f := &lossyFleet{slowFleet: newSlowFleet(86, readTime, start), lost: lost, lostAt: start.Add(30 * time.Second)}
			maxAge := f.run(start, 60)
			comment := qt.Commentf("reads of %s, %d hosts lost: %d reads, maximum age %s", readTime, lost, f.reads, maxAge)
			t.Log(comment)
			qt.Check(t, maxAge < 5*time.Second, qt.IsTrue, comment)
		}
	}
}
