package history

import (
	"fmt"
	"strings"
)

// Report is what a check found. Only Unknown may be other than empty.
type Report struct {
	Lost         []Write // acknowledged, but absent
	Doubled      []Write // present more than once
	FalseNotRun  []Write // said to be not run, but present
	Stale        []Read  // below the session's floor
	Unknown      int     // writes of unknown outcome
	Acknowledged int
	Refused      int
	Reads        int
}

// Check compares the log with how often each id is present.
func (l *Log) Check(present map[string]int) Report {
	var r Report
	for _, w := range l.Writes() {
		r.addWrite(w, present[w.ID])
	}
	for _, read := range l.Reads() {
		r.Reads++
		if read.Seen < read.Floor {
			r.Stale = append(r.Stale, read)
		}
	}
	return r
}

func (r *Report) addWrite(w Write, count int) {
	if count > 1 {
		r.Doubled = append(r.Doubled, w)
	}
	switch w.Outcome {
	case Acknowledged:
		r.Acknowledged++
		if count == 0 {
			r.Lost = append(r.Lost, w)
		}
	case NotRun:
		r.Refused++
		if count > 0 {
			r.FalseNotRun = append(r.FalseNotRun, w)
		}
	case Unknown:
		r.Unknown++
	}
}

// Broken tells whether a promise was broken.
func (r *Report) Broken() bool {
	return len(r.Lost)+len(r.Doubled)+len(r.FalseNotRun)+len(r.Stale) > 0
}

const examples = 3 // of each kind in the text

// String returns counts and the first examples of each broken promise.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d acknowledged, %d refused, %d unknown, %d reads; lost %d, doubled %d, false not-run %d, stale %d",
		r.Acknowledged, r.Refused, r.Unknown, r.Reads, len(r.Lost), len(r.Doubled), len(r.FalseNotRun), len(r.Stale))
	writes := func(kind string, list []Write) {
		for _, w := range list[:min(examples, len(list))] {
			fmt.Fprintf(&b, "\n%s: %+v", kind, w)
		}
	}
	writes("lost", r.Lost)
	writes("doubled", r.Doubled)
	writes("false not-run", r.FalseNotRun)
	for _, read := range r.Stale[:min(examples, len(r.Stale))] {
		fmt.Fprintf(&b, "\nstale: %+v", read)
	}
	return b.String()
}
