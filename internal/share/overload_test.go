package share

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// Under six times the usual load, which is half more than the targets serve, requests
// wait in the pools, in order of priority, rather than at the targets. Without a limit on
// statements in flight, 322 of the most urgent requests and 5,440 of the next priority
// were answered within their goals instead of about 1,700 and 8,100, and the targets
// refused 376 statements.
func TestOverloadedTargetsServeUrgentRequestsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t)
		f.settle()
		f.runMix(2, simRate, simDuration/2)
		f.requests.Wait()
		f.reset()
		f.runMix(1, 6*simRate, simDuration)
		f.requests.Wait()
		f.report(simDuration)
		answered, shed := 0, 0
		for p := range 3 {
			answered += len(f.answered[p])
			t.Logf("priority %d: %d answered, %d in time, median %s, p95 %s", p, len(f.answered[p]), f.inTime(p), f.quantile(p, 0.5), f.quantile(p, 0.95))
		}
		for _, target := range f.targets {
			shed += target.shed
		}
		t.Logf("%d answered in all, the targets refused %d", answered, shed)
		f.check()
		qt.Check(t, f.inTime(0) >= 1300, qt.IsTrue)
		qt.Check(t, f.inTime(1) >= 7000, qt.IsTrue)
		qt.Check(t, answered >= 12000, qt.IsTrue)
		qt.Check(t, shed <= 50, qt.IsTrue)
	})
}
