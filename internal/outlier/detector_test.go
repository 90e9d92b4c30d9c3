package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

var start = time.Unix(1000, 0)

// simRate is the reads a second of one host to one group: 931 of 67 hosts, at the 6 holders
// of each of 8 groups.
const simRate = 19

// simGroup sends reads to three targets in turn, and away from an ejected one.
type simGroup struct {
	Detector
	random       *rand.Rand
	now          time.Time
	failedShare  map[topology.TargetID]float64
	failed, sent map[topology.TargetID]int
	changes      []Change
	next         int
}

var simTargets = []topology.TargetID{"a", "b", "c"}

func newSimGroup(seed uint64) *simGroup {
	return &simGroup{random: rand.New(rand.NewPCG(seed, 2)), now: start, failedShare: map[topology.TargetID]float64{},
		failed: map[topology.TargetID]int{}, sent: map[topology.TargetID]int{}}
}

// play sends reads for a time and returns the part of them that failed.
func (g *simGroup) play(d time.Duration, detect bool) float64 {
	reads, failures := 0, 0
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(time.Second / simRate) {
		id := g.Ejected()
		if id == "" || g.random.Float64() >= ProbeShare {
			for g.next++; simTargets[g.next%3] == g.Ejected(); g.next++ {
			}
			id = simTargets[g.next%3]
		}
		failed := g.random.Float64() < g.failedShare[id]
		reads++
		g.sent[id]++
		if failed {
			failures++
			g.failed[id]++
		}
		if detect {
			if _, change, _ := g.Record(id, failed, 2, g.now); change != None {
				g.changes = append(g.changes, change)
			}
		}
	}
	return float64(failures) / float64(reads)
}

// A target that fails 0.45 of its statements, with whatever health answers, must cost callers
// few failed reads after some seconds, and get its reads back when it has recovered.
func TestGreyTargetIsEjectedAndRecovers(t *testing.T) {
	for seed := range uint64(20) {
		g := newSimGroup(seed)
		qt.Check(t, g.play(10*time.Second, true), qt.Equals, 0.0)
		g.failedShare["b"] = 0.45
		first := g.play(10*time.Second, true)
		qt.Check(t, g.Ejected(), qt.Equals, topology.TargetID("b"), qt.Commentf("seed %d", seed))
		later := g.play(60*time.Second, true)
		without := newSimGroup(seed)
		without.failedShare["b"] = 0.45
		all := without.play(60*time.Second, false)
		qt.Check(t, first < 0.13 && later < 0.05 && all > 0.1, qt.IsTrue, qt.Commentf("seed %d: failed %.3f, then %.3f; %.3f without", seed, first, later, all))
		g.failedShare["b"] = 0
		before := g.sent["b"]
		g.play(60*time.Second, true)
		qt.Check(t, g.Ejected(), qt.Equals, topology.TargetID(""), qt.Commentf("seed %d", seed))
		qt.Check(t, g.sent["b"]-before > 100, qt.IsTrue)
		t.Logf("seed %d: failed %.3f, then %.3f; %.3f without; changes %v", seed, first, later, all, g.changes)
	}
}

// Targets that all fail, or that fail rarely, must keep their reads: statements that fail
// everywhere are no sign of a bad target.
func TestTargetsThatFailAlikeAreKept(t *testing.T) {
	for seed := range uint64(20) {
		for _, share := range []float64{0, 0.02, 0.3, 0.7, 1} {
			g := newSimGroup(seed)
			g.failedShare = map[topology.TargetID]float64{"a": share, "b": share, "c": share}
			g.play(60*time.Second, true)
			// With few answers one target may look worse for a moment.
			qt.Check(t, g.sent["b"] > 60*simRate/6 && g.sent["a"] > 60*simRate/6 && g.sent["c"] > 60*simRate/6, qt.IsTrue, qt.Commentf("seed %d, share %v: %v %v", seed, share, g.sent, g.changes))
		}
	}
}

// If the others begin to fail as well, the ejected target gets its reads back.
func TestEjectionEndsWhenOthersFail(t *testing.T) {
	g := newSimGroup(3)
	g.failedShare["b"] = 0.45
	g.play(10*time.Second, true)
	qt.Assert(t, g.Ejected(), qt.Equals, topology.TargetID("b"))
	g.failedShare["a"], g.failedShare["c"] = 0.9, 0.9
	g.play(5*time.Second, true)
	qt.Check(t, g.Ejected() != "b", qt.IsTrue)
}

// The last target that serves reads is never ejected, a group has one ejected target at most,
// and a target is ejected only on enough failed answers, whatever answers arrive.
func TestAtMostOneTargetIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		now, ejected := start, topology.TargetID("")
		failedOf10 := map[topology.TargetID]int{}
		for _, id := range simTargets {
			failedOf10[id] = rapid.IntRange(0, 10).Draw(t, "failed of ten")
		}
		for range rapid.IntRange(1, 300).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(simTargets).Draw(t, "target")
			others := rapid.IntRange(0, 2).Draw(t, "others")
			failed := rapid.IntRange(0, 9).Draw(t, "failed") < failedOf10[id]
			changed, change, f := d.Record(id, failed, others, now)
			switch change {
			case Ejected:
				if ejected != "" || others == 0 || !failed || changed != id || f.Failed < minFailed || f.Answers < minAnswers {
					t.Fatalf("%s ejected beside %q with %d others: %+v", changed, ejected, others, f)
				}
				ejected = changed
			case Recovered, Cleared:
				if changed != ejected {
					t.Fatalf("%s returned, %q was ejected", changed, ejected)
				}
				ejected = ""
			}
			if d.Ejected() != ejected {
				t.Fatalf("%q is ejected, changes say %q", d.Ejected(), ejected)
			}
		}
	})
}

// A target that fails half of its answers stays if the others fail a third, or if no other one can
// serve reads.
func TestOutlierNeedsBetterTargets(t *testing.T) {
	for _, test := range []struct {
		othersFailed, others int
		want                 topology.TargetID
	}{{0, 2, "b"}, {3, 2, "b"}, {10, 2, ""}, {0, 0, ""}} {
		var d Detector
		for i := range 30 { // the others' answers first
			d.Record("a", i < test.othersFailed, 0, start)
		}
		for i := range 20 {
			d.Record("b", i%2 == 1, test.others, start)
		}
		qt.Check(t, d.Ejected(), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Answers older than the window have no effect, and a replaced target begins anew.
func TestOldAnswersAreForgotten(t *testing.T) {
	var d Detector
	for range minAnswers - 1 {
		d.Record("a", true, 1, start)
	}
	later := start.Add(window + bucketWidth)
	_, change, f := d.Record("a", true, 1, later)
	qt.Check(t, change, qt.Equals, None)
	qt.Check(t, f, qt.Equals, Figures{Answers: 1, Failed: 1})
	for range minAnswers {
		d.Record("a", true, 1, later)
	}
	qt.Check(t, d.Ejected(), qt.Equals, topology.TargetID("a"))
	qt.Check(t, d.Forget("a"), qt.IsTrue)
	qt.Check(t, d.Ejected(), qt.Equals, topology.TargetID(""))
	qt.Check(t, d.Forget("a"), qt.IsFalse)
}
