package history

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Check reports each kind of violation once and does not count correct operations.
func TestCheckReportsEachViolation(t *testing.T) {
	var l Log
	l.AddWrite(Write{ID: "kept", Outcome: Acknowledged})
	l.AddWrite(Write{ID: "lost", Outcome: Acknowledged})
	l.AddWrite(Write{ID: "twice", Outcome: Unknown})
	l.AddWrite(Write{ID: "ran", Outcome: NotRun})
	l.AddWrite(Write{ID: "refused", Outcome: NotRun})
	l.AddRead(Read{Session: "s", Floor: 2, Seen: 1})
	l.AddRead(Read{Session: "s", Floor: 2, Seen: 2})
	r := l.Check(map[string]int{"kept": 1, "twice": 2, "ran": 1})
	qt.Check(t, r.Lost, qt.HasLen, 1)
	qt.Check(t, r.Duplicated, qt.HasLen, 1)
	qt.Check(t, r.FalseNotRun, qt.HasLen, 1)
	qt.Check(t, r.Stale, qt.HasLen, 1)
	qt.Check(t, r.Unknown, qt.Equals, 1)
	qt.Check(t, r.Broken(), qt.IsTrue)
}
