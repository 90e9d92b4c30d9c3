// Package eventlog writes log lines without ever holding up who logs: lines
// wait in a bounded buffer for a writer of their own, and what finds the buffer
// full is counted and dropped.
package eventlog

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// lines is how many lines the buffer holds. At some hundred bytes each they
// take less than a megabyte.
const bufferLines = 2048

// Writer is an io.Writer that never blocks.
type Writer struct {
	queue   chan []byte
	pending atomic.Int64 // lines that wait or are being written
	dropped atomic.Uint64
}

// NewWriter returns a writer that passes lines on to w.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{queue: make(chan []byte, bufferLines)}
	go l.writeQueued(w)
	return l
}

var droppedLinesTotal = metrics.NewCounter("nettlewalk_log_lines_dropped_total")

// Write implements io.Writer. It takes one line.
func (l *Writer) Write(line []byte) (int, error) {
	l.pending.Add(1)
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.pending.Add(-1)
		l.dropped.Add(1)
		droppedLinesTotal.Inc()
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

func (l *Writer) writeQueued(w io.Writer) {
	for line := range l.queue {
		if _, err := w.Write(line); err != nil {
			l.dropped.Add(1) // nobody reads; there is no other place to say so
			droppedLinesTotal.Inc()
		}
		l.pending.Add(-1)
	}
}

// flushPoll is the time between looks whether the buffer is empty.
const flushPollInterval = 5 * time.Millisecond

// Flush waits until what was logged before is written, limit at most.
func (l *Writer) Flush(limit time.Duration) {
	for deadline := time.Now().Add(limit); l.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

// New returns a logger that writes JSON lines to w, up to the level.
func New(w io.Writer, level int) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-level)}))
}
