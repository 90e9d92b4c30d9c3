package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The first detour of each kind is logged, however many of another kind were.
func TestSamplerAlwaysTakesTheFirstOfAKind(t *testing.T) {
	s := newSampler()
	taken := 0
	for range 10_000 {
		if s.allows([]string{"t1 lagging", "t2 ok"}) {
			taken++
		}
	}
	qt.Check(t, taken >= sampledBurst && taken < 2*sampledBurst, qt.IsTrue, qt.Commentf("%d", taken))
	qt.Check(t, s.allows([]string{"t1 broke: reset", "t2 ok"}), qt.IsTrue)
	for i := range 10 * sampledKinds {
		s.allows([]string{fmt.Sprintf("t1 kind%d", i)})
	}
	qt.Check(t, len(s.limits) <= sampledKinds, qt.IsTrue)
}
