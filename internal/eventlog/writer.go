// Package eventlog writes log lines without blocking the code that logs. Lines are
// queued in a bounded buffer and written by a separate goroutine; lines that arrive
// while the buffer is full are dropped and counted.
package eventlog

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// bufferLines is the capacity of the buffer in lines. At a few hundred bytes each,
// a full buffer takes less than a megabyte.
const bufferLines = 2048

// Writer is an io.Writer that never blocks. It drops lines if its buffer is full.
type Writer struct {
	queue   chan []byte
	pending atomic.Int64 // lines that are queued or being written
	dropped atomic.Uint64
}

// NewWriter returns a Writer that writes lines to w in a separate goroutine, which
// runs until the process ends.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{queue: make(chan []byte, bufferLines)}
	go l.writeQueued(w)
	return l
}

var droppedLinesTotal = metrics.NewCounter("nettlewalk_log_lines_dropped_total")

// Write implements io.Writer. Each call must pass one whole line.
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

// Dropped returns the number of lines that were dropped.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

func (l *Writer) writeQueued(w io.Writer) {
	for line := range l.queue {
		if _, err := w.Write(line); err != nil {
			l.dropped.Add(1) // the error can't be logged, since the log output itself failed
			droppedLinesTotal.Inc()
		}
		l.pending.Add(-1)
	}
}

// flushPollInterval is the interval at which Flush checks whether all lines are
// written.
const flushPollInterval = 5 * time.Millisecond

// Flush waits until all lines are written, but at most for limit.
func (l *Writer) Flush(limit time.Duration) {
	for deadline := time.Now().Add(limit); l.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

// New returns a logger that writes JSON lines to w for messages of verbosity up to
// level.
func New(w io.Writer, level int) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-level)}))
}
