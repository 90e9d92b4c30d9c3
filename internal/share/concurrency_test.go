package share

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// answerAll records answers of the given response time for a while, of a pool whose
// limit holds requests back.
func answerAll(l *concurrencyLimit, took time.Duration, busy bool, from time.Time, d time.Duration) time.Time {
	end := from.Add(d)
	for ; from.Before(end); from = from.Add(5 * time.Millisecond) {
		l.noteReached()
		l.observe(took, busy, 8, from)
	}
	return end
}

// The limit falls while the target is slower than usual, or refuses statements, and rises
// again when it is as fast as before. It is never below 1, since nothing would ever raise
// it again.
func TestLimitFollowsTarget(t *testing.T) {
	var l concurrencyLimit
	qt.Check(t, l.max(8), qt.Equals, 8)
	now := answerAll(&l, 15*time.Millisecond, false, start, 5*time.Second)
	qt.Check(t, l.max(8), qt.Equals, 8)
	now = answerAll(&l, 25*time.Millisecond, false, now, 5*time.Second)
	qt.Check(t, l.max(8), qt.Equals, 8)
	now = answerAll(&l, 100*time.Millisecond, false, now, time.Second)
	qt.Check(t, l.max(8), qt.Equals, 1)
	now = answerAll(&l, 15*time.Millisecond, false, now, 2*time.Second)
	qt.Check(t, l.max(8), qt.Equals, 8)
	now = answerAll(&l, 0, true, now, time.Second)
	qt.Check(t, l.max(8), qt.Equals, 1)
	// A target that has become slower for good is served at its own pace.
	answerAll(&l, 100*time.Millisecond, false, now, 3*baselinePeriod)
	qt.Check(t, l.max(8), qt.Equals, 8)
}

// Requests that don't reach the limit don't raise it: it would say nothing of the target.
func TestLimitRisesOnlyWhenReached(t *testing.T) {
	l := concurrencyLimit{}
	now := answerAll(&l, 0, true, start, time.Second)
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		l.observe(10*time.Millisecond, false, 8, now)
	}
	qt.Check(t, l.max(8), qt.Equals, 1)
}

func TestLimitStaysWithinPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l concurrencyLimit
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "answers") {
			size := rapid.IntRange(0, 9).Draw(t, "size")
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "reached") {
				l.noteReached()
			}
			l.observe(time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*time.Millisecond, rapid.IntRange(0, 9).Draw(t, "busy") == 0, size, now)
			if got := l.max(size); got < 1 || got > max(size, 1) {
				t.Fatalf("limit %d of a pool of %d", got, size)
			}
		}
	})
}
