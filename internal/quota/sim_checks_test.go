package quota

import (
	"slices"
	"testing"
	"time"
)

// maxWindow returns the most operations of a customer in any window that begins in
// [from, to).
func (s *sim) maxWindow(from, to time.Duration) int {
	most := 0
	for _, ran := range s.ran {
		first := 0
		slices.Sort(ran)
		for i, at := range ran {
			for ran[first] <= at-simBounds.Window {
				first++
			}
			if ran[first] >= from && ran[first] < to {
				most = max(most, i-first+1)
			}
		}
	}
	return most
}

// ranIn returns the operations that ran in [from, to).
func (s *sim) ranIn(from, to time.Duration) int {
	n := 0
	for _, ran := range s.ran {
		for _, at := range ran {
			if at >= from && at < to {
				n++
			}
		}
	}
	return n
}

const endOfTime = time.Duration(1<<62 - 1)

// checkWindows fails the test if any window exceeds the allowance.
func (s *sim) checkWindows(t *testing.T, limit Limit) {
	t.Helper()
	most, allowed := s.maxWindow(0, endOfTime), simBounds.Allowance(limit)
	t.Logf("rate %v: offered %d, admitted %.4f, calls for each operation %.3f, longest wait %s, fullest window %d of %.0f",
		limit.Rate, s.offered, float64(s.admitted)/float64(max(1, s.offered)), float64(s.calls)/float64(max(1, s.offered)), s.waitedMax.Round(time.Millisecond), most, allowed)
	if float64(most) > allowed {
		t.Errorf("%d operations in a window, %.1f are allowed", most, allowed)
	}
}
