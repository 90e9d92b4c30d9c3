package promotion

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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

// droppingCommits tells of dropped targets.
type droppingCommits struct {
	countingCommits
	dropped []topology.TargetID
}

func (c *droppingCommits) Dropped(topology.GroupID) []topology.TargetID { return c.dropped }
