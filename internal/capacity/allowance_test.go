package capacity

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The limit of a holder follows what it knows: one at the start, the work slots while
// nothing waits, its allocation, and its equal allocation once nobody coordinates.
func TestAllowanceStates(t *testing.T) {
	a := NewAllowance(start)
	limit := func(after time.Duration) int { return a.Limit(4, 2, start.Add(after)) }
	qt.Check(t, limit(0), qt.Equals, 1)
	qt.Check(t, limit(1100*time.Millisecond), qt.Equals, 4)
	at := 2 * time.Second
	qt.Check(t, a.NoteWaiting(start.Add(at)), qt.IsTrue)
	qt.Check(t, limit(at+200*time.Millisecond), qt.Equals, 4)
	for range 4 { // nobody answers
		at += Interval
		qt.Check(t, a.NoteWaiting(start.Add(at)), qt.IsTrue)
	}
	qt.Check(t, limit(at), qt.Equals, 3)
	a.Allocate(5, start.Add(at))
	qt.Check(t, limit(at), qt.Equals, 5)
	qt.Check(t, a.NoteWaiting(start.Add(at+200*time.Millisecond)), qt.IsFalse)
	qt.Check(t, limit(at+MaxAge), qt.Equals, 5)
	// The coordinator is dead.
	at += MaxAge + time.Millisecond
	qt.Check(t, a.NoteWaiting(start.Add(at)), qt.IsTrue)
	qt.Check(t, limit(at), qt.Equals, 3)
	// Nothing waits any more.
	qt.Check(t, limit(at+MaxAge+time.Millisecond), qt.Equals, 4)
	// The coordinator ends allocations.
	at += 5 * time.Second
	a.Allocate(2, start.Add(at))
	a.Allocate(0, start.Add(at))
	qt.Check(t, limit(at), qt.Equals, 4)
}

// A wait long ago doesn't count as an unanswered one.
func TestEarlierWaitDoesNotCount(t *testing.T) {
	a := NewAllowance(start)
	a.NoteWaiting(start)
	now := start.Add(time.Minute)
	qt.Check(t, a.NoteWaiting(now), qt.IsTrue)
	qt.Check(t, a.Limit(4, 6, now), qt.Equals, 4)
	qt.Check(t, a.NoteWaiting(now.Add(Interval/2)), qt.IsFalse)
}
