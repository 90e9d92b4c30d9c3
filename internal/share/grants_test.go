package share

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// evenGrants returns a history of evenly spaced grants in the second before
// now.
func evenGrants(now time.Time, urgent, other int) *grantHistory {
	g := &grantHistory{}
	for i := range urgent + other {
		priority := 1
		if i*urgent/(urgent+other) != (i+1)*urgent/(urgent+other) {
			priority = 0
		}
		g.add(priority, now.Add(-grantWindow+time.Duration(i+1)*grantWindow/time.Duration(urgent+other+1)))
	}
	return g
}

func TestRemainingShare(t *testing.T) {
	now := time.Now()
	const hold = 20 * time.Millisecond // 4 connections serve 200 a second
	for _, c := range []struct {
		name               string
		urgent, other      int
		priority           int
		minShare, maxShare float64
	}{
		{"no grants", 0, 0, 1, 1, 1},
		{"half is used", 100, 100, 1, 0.45, 0.55},
		{"half is used, for an urgent request", 100, 100, 0, 1, 1},
		{"little is used, by urgent requests only", 10, 0, 1, 0.9, 1},
		{"all is used", 200, 0, 1, minRemainingShare, 0.1},
		{"no urgent grants", 0, 200, 1, 1, 1},
	} {
		share := evenGrants(now, c.urgent, c.other).remainingShare(c.priority, 4, hold, now)
		qt.Check(t, share >= c.minShare && share <= c.maxShare, qt.IsTrue, qt.Commentf("%s: %g", c.name, share))
	}
}

func TestGrantsOutsideWindowAreIgnored(t *testing.T) {
	now := time.Now()
	g := evenGrants(now, 200, 0)
	qt.Assert(t, g.remainingShare(1, 4, 20*time.Millisecond, now.Add(2*grantWindow)), qt.Equals, 1.0)
}
