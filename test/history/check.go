package history

import (
	"fmt"
	"strings"
)

// Report is the result of a check. Lost, Duplicated, FalseNotRun and Stale list
// violations and must be empty; the other fields are counts.
type Report struct {
	Lost         []Write // acknowledged, but absent from the database
	Duplicated   []Write // present more than once in the database
	FalseNotRun  []Write // reported as not run, but present in the database
	Stale        []Read  // older than the session's freshness floor
	Unknown      int     // number of writes with an unknown outcome
	Acknowledged int
	Refused      int
	Reads        int
}

// Check compares the log with present, the number of rows per id in the database.
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
		r.Duplicated = append(r.Duplicated, w)
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

// Broken reports whether the history violates a consistency guarantee.
func (r *Report) Broken() bool {
	return len(r.Lost)+len(r.Duplicated)+len(r.FalseNotRun)+len(r.Stale) > 0
}

const maxExamples = 3 // per kind of violation in String

// String returns the counts and the first examples of each kind of violation.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d acknowledged, %d refused, %d unknown, %d reads; lost %d, doubled %d, false not-run %d, stale %d",
		r.Acknowledged, r.Refused, r.Unknown, r.Reads, len(r.Lost), len(r.Duplicated), len(r.FalseNotRun), len(r.Stale))
	appendWrites := func(kind string, violations []Write) {
		for _, w := range violations[:min(maxExamples, len(violations))] {
			fmt.Fprintf(&b, "\n%s: %+v", kind, w)
		}
	}
	appendWrites("lost", r.Lost)
	appendWrites("doubled", r.Duplicated)
	appendWrites("false not-run", r.FalseNotRun)
	for _, read := range r.Stale[:min(maxExamples, len(r.Stale))] {
		fmt.Fprintf(&b, "\nstale: %+v", read)
	}
	return b.String()
}
