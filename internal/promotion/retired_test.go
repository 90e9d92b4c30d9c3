package promotion

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A target that announced its leave, was dropped and hasn't been heard of for long counts as ended. Any
// other one stays dropped.
func TestRetiredTargetCountsAsEnded(t *testing.T) {
	for name, test := range map[string]struct {
		leaving, registered, isDropped bool
		silentFor                      time.Duration
		retired                        bool
	}{
		"retired":            {true, false, true, retiredAfter, true},
		"for less":           {true, false, true, retiredAfter - 10*time.Second, false},
		"it didn't announce": {false, false, true, retiredAfter, false},
		"still registered":   {true, true, true, retiredAfter, false},
		"not dropped":        {true, false, false, retiredAfter, false},
	} {
		commits := &droppingCommits{}
		if test.isDropped {
			commits.dropped = []topology.TargetID{"b"}
		}
		w := NewWatcher(Options{Group: "g", Duty: permanentDuty{}, Catalog: newTestGroup("p", "a").store, Commits: commits})
		pr := &prober{aliveAt: steady.Now().Add(-test.silentFor), unregisteredFor: time.Minute}
		if test.registered {
			pr.unregisteredFor = 0
		}
		w.probers["b"] = pr
		qt.Check(t, w.hasRetired(duty.Member{ID: "b", Leaving: test.leaving}), qt.Equals, test.retired, qt.Commentf(name))
	}
}

// A target that has retired is recorded as covered, so that it counts no more.
func TestRetiredTargetIsRecordedAsCovered(t *testing.T) {
	g, d := newTestGroup("p", "a"), &recordedDuty{}
	_ = d.RecordMembers(t.Context(), "g", []duty.Member{{ID: "p", Addr: "p"}, {ID: "a", Addr: "a"}, {ID: "b", Addr: "b", Leaving: true}})
	w := NewWatcher(Options{Group: "g", Duty: d, Catalog: g.store, Log: logr.Discard(), Commits: &droppingCommits{dropped: []topology.TargetID{"b"}}})
	w.syncProbers()
	w.probers["b"].unregisteredFor, w.probers["b"].aliveAt = time.Minute, steady.Now().Add(-retiredAfter)
	qt.Assert(t, w.mayHoldCommits("b", w.probers["b"]), qt.IsTrue)
	qt.Assert(t, w.droppedTargets()[0], qt.Equals, topology.TargetID("b"))
	view := w.unprobedView()
	w.recordMembers(t.Context(), &view)
	for deadline := time.Now().Add(5 * time.Second); w.mayHoldCommits("b", w.probers["b"]); time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
	}
	qt.Check(t, w.droppedTargets()[0], qt.Equals, topology.TargetID(""), qt.Commentf("receipts are needed no more"))
}

// droppingCommits tells of dropped targets.
type droppingCommits struct {
	countingCommits
	dropped []topology.TargetID
}

func (c *droppingCommits) Dropped(topology.GroupID) []topology.TargetID { return c.dropped }
