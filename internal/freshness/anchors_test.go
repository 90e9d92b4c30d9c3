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

func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func primaryAt(offset int) target.Status {
	return target.Status{Role: target.Primary, Term: 1, Applied: topology.Position{Term: 1, Offset: uint64(offset)}}
}

// The primary commits at drawn times and polls answer with its position at a
// moment between their sending and their answer.
func TestAgeIsNeverLessThanTheTrueAge(t *testing.T) {
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
			a.Learn(ms(sent), primaryAt(committedBy(read)))
		}
		now := rapid.IntRange(1200, 2000).Draw(t, "now")
		applied := rapid.IntRange(0, len(commits)).Draw(t, "applied")
		age, known := a.Age(primaryAt(applied).Applied, ms(now))
		if !known {
			return
		}
		for _, c := range commits {
			missing := committedBy(c) > applied
			if missing && age < ms(now).Sub(ms(c)) {
				t.Fatalf("age %v, but a commit of %v before is missing", age, ms(now).Sub(ms(c)))
			}
		}
	})
}

func TestOnlyThePrimaryOfTheHighestTermCounts(t *testing.T) {
	var a Anchors
	qt.Assert(t, a.Learn(ms(0), primaryAt(5)), qt.IsTrue)
	next := target.Status{Role: target.Primary, Term: 2, Applied: topology.Position{Term: 2, Offset: 1}}
	qt.Assert(t, a.Learn(ms(10), next), qt.IsTrue)
	qt.Assert(t, a.Learn(ms(20), primaryAt(6)), qt.IsFalse)
	qt.Assert(t, a.Learn(ms(20), target.Status{Role: target.Fenced, Term: 3}), qt.IsFalse)
	age, known := a.Age(next.Applied, ms(100))
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 90*time.Millisecond)
}

func TestAgeGrowsWhileThePrimaryIsSilent(t *testing.T) {
	var a Anchors
	_, known := a.Age(topology.Position{}, ms(0))
	qt.Assert(t, known, qt.IsFalse)
	a.Learn(ms(0), primaryAt(5))
	for _, at := range []int{10, 1000, 60_000} {
		age, _ := a.Age(primaryAt(5).Applied, ms(at))
		qt.Assert(t, age, qt.Equals, ms(at).Sub(ms(0)))
	}
}

func TestThinnedAnchorsStillReachFarBack(t *testing.T) {
	var a Anchors
	const polls = 20 * maxAnchors
	for i := range polls {
		a.Learn(ms(i), primaryAt(i))
		qt.Assert(t, len(a.list) <= maxAnchors, qt.IsTrue)
	}
	for _, lag := range []int{1, 100, polls / 2, polls - 1} {
		age, known := a.Age(primaryAt(polls-1-lag).Applied, ms(polls-1))
		qt.Assert(t, known, qt.IsTrue)
		behind := time.Duration(lag) * time.Millisecond
		qt.Check(t, age >= behind && age <= 2*behind, qt.IsTrue, qt.Commentf("%v for %v", age, behind))
	}
}
