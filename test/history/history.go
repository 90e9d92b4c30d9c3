// Package history records what callers did and saw, and checks it against what
// the database holds in the end.
package history

import (
	"sync"
	"time"
)

// Outcome is what a caller was told of a write.
type Outcome string

// The outcomes.
const (
	Acknowledged Outcome = "acknowledged"
	NotRun       Outcome = "not run"
	Unknown      Outcome = "unknown"
)

// Write is one insert of a row with an id of its own. It isn't repeated.
type Write struct {
	ID      string
	Session string
	Seq     int // rises by one with each write of the session
	Outcome Outcome
	Detail  string
	Start   time.Time
	End     time.Time
}

// Read is one read of a session's own rows.
type Read struct {
	Session string
	Floor   int // last sequence number acknowledged to the session before the read
	Seen    int // highest sequence number in the answer
	Start   time.Time
	End     time.Time
	Detail  string
}

// Log gathers writes and reads. Safe for concurrent use.
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
