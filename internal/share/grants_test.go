package share

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// grantsOf remembers grants at an even pace in the second before now.
func grantsOf(now time.Time, urgent, other int) *grants {
	g := &grants{}
	for i := range urgent + other {
		priority := 1
		if i*urgent/(urgent+other) != (i+1)*urgent/(urgent+other) {
			priority = 0
		}
		g.add(priority, now.Add(-grantsFor+time.Duration(i+1)*grantsFor/time.Duration(urgent+other+1)))
	}
	return g
}

func TestWhatUrgentRequestsLeave(t *testing.T) {
	now := time.Now()
	const hold = 20 * time.Millisecond // 4 connections serve 200 a second
	for _, c := range []struct {
		name          string
		urgent, other int
		priority      int
		least, most   float64
	}{
		{"nobody came", 0, 0, 1, 1, 1},
		{"half is used", 100, 100, 1, 0.45, 0.55},
		{"half is used, seen by an urgent one", 100, 100, 0, 1, 1},
		{"little is used, though by urgent ones alone", 10, 0, 1, 0.9, 1},
		{"all is used", 200, 0, 1, leastLeft, 0.1},
		{"only others came", 0, 200, 1, 1, 1},
	} {
		left := grantsOf(now, c.urgent, c.other).left(c.priority, 4, hold, now)
		qt.Check(t, left >= c.least && left <= c.most, qt.IsTrue, qt.Commentf("%s: %g", c.name, left))
	}
}

func TestOldGrantsDontCount(t *testing.T) {
	now := time.Now()
	g := grantsOf(now, 200, 0)
	qt.Assert(t, g.left(1, 4, 20*time.Millisecond, now.Add(2*grantsFor)), qt.Equals, 1.0)
}
