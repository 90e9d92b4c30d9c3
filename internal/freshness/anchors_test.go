package freshness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var start = time.Unix(1000, 0)

func atMS(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func primaryStatus(offset int) target.Status {
	return target.Status{Role: target.Primary, Term: 1, Applied: topology.Position{Term: 1, Offset: uint64(offset)}}
}

// The primary commits at drawn times, and each poll returns its position at
// some time between the request and the answer. The age must never be less than
// the true staleness.
func TestAgeIsUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		commits := rapid.SliceOfN(rapid.IntRange(0, 1000), 1, 30).Draw(t, "commits")
		committedBy := func(at int) (n int) {
			for _, c := range commits {
				if c <= at {
					n++
				}
			}
			return n
		}
		var a Anchors
		for range rapid.IntRange(0, 30).Draw(t, "polls") {
			sent := rapid.IntRange(0, 1000).Draw(t, "sent")
			read := sent + rapid.IntRange(0, 200).Draw(t, "delay")
			a.RecordStatus(atMS(sent), primaryStatus(committedBy(read)))
		}
		now := rapid.IntRange(1200, 2000).Draw(t, "now")
		applied := rapid.IntRange(0, len(commits)).Draw(t, "applied")
		age, known := a.Age(primaryStatus(applied).Applied, atMS(now))
		if !known {
			return
		}
		for _, c := range commits {
			missing := committedBy(c) > applied
			if missing && age < atMS(now).Sub(atMS(c)) {
				t.Fatalf("age %v, but a commit from %v ago is missing", age, atMS(now).Sub(atMS(c)))
			}
		}
	})
}

func TestOnlyHighestTermPrimaryIsAccepted(t *testing.T) {
	var a Anchors
	qt.Assert(t, a.RecordStatus(atMS(0), primaryStatus(5)), qt.IsTrue)
	next := target.Status{Role: target.Primary, Term: 2, Applied: topology.Position{Term: 2, Offset: 1}}
	qt.Assert(t, a.RecordStatus(atMS(10), next), qt.IsTrue)
	qt.Assert(t, a.RecordStatus(atMS(20), primaryStatus(6)), qt.IsFalse)
	qt.Assert(t, a.RecordStatus(atMS(20), target.Status{Role: target.Fenced, Term: 3}), qt.IsFalse)
	age, known := a.Age(next.Applied, atMS(100))
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 90*time.Millisecond)
}

func TestAgeGrowsWithoutNewAnchors(t *testing.T) {
	var a Anchors
	_, known := a.Age(topology.Position{}, atMS(0))
	qt.Assert(t, known, qt.IsFalse)
	a.RecordStatus(atMS(0), primaryStatus(5))
	for _, at := range []int{10, 1000, 60_000} {
		age, _ := a.Age(primaryStatus(5).Applied, atMS(at))
		qt.Assert(t, age, qt.Equals, atMS(at).Sub(atMS(0)))
	}
}

func TestThinnedAnchorsCoverLongHistory(t *testing.T) {
	var a Anchors
	const polls = 20 * maxAnchors
	for i := range polls {
		a.RecordStatus(atMS(i), primaryStatus(i))
		qt.Assert(t, len(a.list) <= maxAnchors, qt.IsTrue)
	}
	for _, lag := range []int{1, 100, polls / 2, polls - 1} {
		age, known := a.Age(primaryStatus(polls-1-lag).Applied, atMS(polls-1))
		qt.Assert(t, known, qt.IsTrue)
		behind := time.Duration(lag) * time.Millisecond
		qt.Check(t, age >= behind && age <= 2*behind, qt.IsTrue, qt.Commentf("%v for %v", age, behind))
	}
}
