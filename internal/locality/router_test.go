package locality

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Without prices nothing may be decided, measured or refused.
func TestRouterWithoutPrices(t *testing.T) {
	r := NewRouter(Prices{}, "a", logr.Discard())
	qt.Assert(t, r, qt.IsNil)
	leaves, required := r.Leaves("g", Reads, Places{Away: true}, ordinary)
	qt.Check(t, leaves || required, qt.IsFalse)
	r.Record("g", Reads, true, Served, time.Second)
	r.RecordBytes("g", Reads, true, 100)
	r.CountOwn("g")
	qt.Check(t, r.Admit("g", "b", false, Capacity{Free: -1}), qt.IsTrue)
	qt.Check(t, r.Dump(), qt.HasLen, 0)
	qt.Check(t, r.Domain(), qt.Equals, topology.Domain(""))
}

// A share that rises must be logged with its inputs, in a bounded number of lines.
func TestRouterRaisesShareAndLogsIt(t *testing.T) {
	var mu sync.Mutex
	var lines []string
	log := funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, args)
	}, funcr.Options{})
	r := NewRouter(simPrices, "a", log)
	places := Places{Home: true, Away: true}
	var wait sync.WaitGroup
	for group := range 30 {
		wait.Go(func() {
			id := topology.GroupID(fmt.Sprint("g", group))
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				leaves, _ := r.Leaves(id, Reads, places, ordinary)
				took := 400 * time.Millisecond
				if leaves {
					took = 20 * time.Millisecond
				}
				r.Record(id, Reads, leaves, Served, took)
				r.RecordBytes(id, Reads, leaves, 900)
			}
		})
	}
	wait.Wait()
	for group := range 30 {
		qt.Check(t, r.Share(topology.GroupID(fmt.Sprint("g", group)), Reads) > 0.3, qt.IsTrue)
	}
	t.Logf("%d lines, first: %s", len(lines), lines[0])
	qt.Check(t, len(lines) <= logLinesBurst+4*logLinesPerSecond, qt.IsTrue)
	qt.Check(t, len(lines) > 0, qt.IsTrue)
	qt.Check(t, r.Dump(), qt.HasLen, 30*int(kinds))
}

// Figures that single statements bring must not turn a short absence of targets into a
// jump of the share.
func TestShortAbsenceOfTargetsKeepsShare(t *testing.T) {
	var s Share
	now, _ := advance(&s, start, 5*time.Second, overloaded)
	before := s.Value()
	now, _ = advance(&s, now, UpdateInterval, func(now time.Time) Input {
		in := overloaded(now)
		in.Home.Available = false
		return in
	})
	qt.Check(t, s.Value(), qt.Equals, 1.0)
	advance(&s, now, UpdateInterval, overloaded)
	qt.Check(t, s.Returning(), qt.IsFalse)
	qt.Check(t, math.Abs(s.Value()-before) < 0.2, qt.IsTrue)
}

// The wait for a busy connection must count before it was measured.
func TestEstimateUsesPresentQueue(t *testing.T) {
	f := flow{base: 10 * time.Millisecond}
	var w Work
	f.estimate(&Places{Waiting: 3}, &w)
	qt.Check(t, w.Home, qt.Equals, 40*time.Millisecond)
	qt.Check(t, w.Queue, qt.Equals, 30*time.Millisecond)
	w = Work{}
	f.estimate(&Places{Waiting: 1, Latency: 30 * time.Millisecond}, &w)
	qt.Check(t, w.Home, qt.Equals, 40*time.Millisecond)
	qt.Check(t, w.Queue, qt.Equals, 20*time.Millisecond)
	w = Work{}
	f.estimate(&Places{}, &w)
	qt.Check(t, w.Home, qt.Equals, time.Duration(0)) // the measured figure applies
}

// Groups that were removed from the configuration must not stay in memory and in the metrics
// for ever, and their removal must not hold up statements for long. Groups in use must stay.
func TestUnusedGroupsAreRemoved(t *testing.T) {
	r := NewRouter(simPrices, "a", logr.Discard())
	use := func(id topology.GroupID, now time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.group(id, now)
	}
	shares := func() (n int) {
		for _, name := range metrics.ListMetricNames() {
			if strings.HasPrefix(name, `nettlewalk_cross_domain_share{group="unused-`) {
				n++
			}
		}
		return n
	}
	const unused = maxRemovals + 2
	for i := range unused {
		use(topology.GroupID(fmt.Sprint("unused-", i)), start)
	}
	use("used", start)
	use("used", start.Add(unusedRetention-1))
	qt.Check(t, r.groups, qt.HasLen, unused+1)
	qt.Check(t, shares(), qt.Equals, unused*int(kinds))
	now := start.Add(unusedRetention + cleanupInterval)
	use("used", now)
	qt.Check(t, r.groups, qt.HasLen, unused-maxRemovals+1)
	use("used", now.Add(cleanupInterval))
	qt.Check(t, r.groups, qt.HasLen, 1)
	qt.Check(t, shares(), qt.Equals, 0)
	use("unused-0", now.Add(cleanupInterval)) // back in the configuration
	qt.Check(t, shares(), qt.Equals, int(kinds))
}

// The decision is made for each read and each forwarded statement.
func BenchmarkRouter(b *testing.B) {
	r := NewRouter(simPrices, "a", logr.Discard())
	places := Places{Home: true, Away: true, Waiting: 1, Latency: 15 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		leaves, _ := r.Leaves("g", Reads, places, ordinary)
		r.Record("g", Reads, leaves, Served, 15*time.Millisecond)
		r.RecordBytes("g", Reads, leaves, 900)
		r.CountOwn("g")
	}
}
