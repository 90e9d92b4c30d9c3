package share

import (
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

func (f *simFleet) dials() int {
	n := 0
	for _, target := range f.targets {
		target.mu.Lock()
		n += target.dials
		target.mu.Unlock()
	}
	return n
}

// summary is what the customers of some ranks got.
type summary struct {
	served, refused int
	servedShare     float64
	median, p95     time.Duration // of the waits for a connection
}

func (f *simFleet) summarize(ids []topology.CustomerID) summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	var s summary
	var waits []time.Duration
	for _, id := range ids {
		o := f.outcomes[id]
		s.served += o.served
		s.refused += o.refused
		waits = append(waits, o.waits...)
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		s.median, s.p95 = waits[len(waits)/2], waits[len(waits)*95/100]
	}
	s.servedShare = float64(s.served) / float64(max(s.served+s.refused, 1))
	return s
}

func (f *simFleet) report(d time.Duration) (large, medium, small summary, dialsPerTarget float64) {
	large, medium, small = f.summarize(f.ids[:3]), f.summarize(f.ids[3:20]), f.summarize(f.ids[20:])
	dialsPerTarget = float64(f.dials()) / d.Seconds() / float64(len(f.targets))
	f.t.Logf("large %+v", large)
	f.t.Logf("medium %+v", medium)
	f.t.Logf("small %+v", small)
	f.t.Logf("%.1f dials a second and target", dialsPerTarget)
	for _, target := range f.targets {
		f.t.Logf("%s: at most %d open, %d refused", target.id, target.maxOpen, target.refused)
	}
	return large, medium, small, dialsPerTarget
}

// quantile returns a quantile of the times from a request to its answer.
func (f *simFleet) quantile(priority int, q float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := slices.Sorted(slices.Values(f.answered[priority]))
	if len(times) == 0 {
		return 0
	}
	return times[int(float64(len(times)-1)*q)]
}

// simGoals are the latency goals of the deployment's request types, by priority.
var simGoals = [3]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond}

// inTime returns how many requests of a priority were answered within their goal.
func (f *simFleet) inTime(priority int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, took := range f.answered[priority] {
		if took <= simGoals[priority] {
			n++
		}
	}
	return n
}

// check ends the simulation and checks what must hold under any load.
func (f *simFleet) check() {
	f.requests.Wait()
	f.close()
	qt.Check(f.t, f.wrong, qt.Equals, 0, qt.Commentf("statements on connections of other customers"))
	for _, target := range f.targets {
		qt.Check(f.t, target.maxOpen <= len(f.holders)*f.size, qt.IsTrue, qt.Commentf("%d connections", target.maxOpen))
		qt.Check(f.t, target.refused, qt.Equals, 0)
	}
}
