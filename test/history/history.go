// Package history records the operations of callers and their results, and checks
// them against the final contents of the database.
package history

import (
	"sync"
	"time"
)

// Outcome is the result of a write as reported to the caller.
type Outcome string

// Outcomes of a write.
const (
	Acknowledged Outcome = "acknowledged"
	NotRun       Outcome = "not run"
	Unknown      Outcome = "unknown"
)

// Write is one insert of a row with a unique id. Callers do not retry writes.
type Write struct {
	ID      string
	Session string
	Seq     int // increases by one with each write of the session
	Outcome Outcome
	Detail  string
	Start   time.Time
	End     time.Time
}

// Read is one read of the rows that the session wrote.
type Read struct {
	Session string
	Floor   int // highest sequence number acknowledged to the session before the read
	Seen    int // highest sequence number in the result
	Start   time.Time
	End     time.Time
	Detail  string
}

// Log collects writes and reads. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	writes []Write
	reads  []Read
}

// AddWrite records a write.
func (l *Log) AddWrite(w Write) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes = append(l.writes, w)
}

// AddRead records a read.
func (l *Log) AddRead(r Read) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads = append(l.reads, r)
}

// Writes returns a copy of the recorded writes.
func (l *Log) Writes() []Write {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Write(nil), l.writes...)
}

// Reads returns a copy of the recorded reads.
func (l *Log) Reads() []Read {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Read(nil), l.reads...)
}
