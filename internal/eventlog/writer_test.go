package eventlog

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stalledWriter is a log output that blocks every write until release is closed.
type stalledWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.written.Write(b)
}

// Logging must not block while the log output is stalled. Lines that don't fit in
// the buffer are dropped and counted.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	stalledOut := &stalledWriter{release: make(chan struct{})}
	w := NewWriter(stalledOut)
	log := New(w, 0)
	start := time.Now()
	for range bufferLines + 500 {
		log.Info("statement not served", "request", "5c", "code", "busy")
	}
	qt.Check(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	qt.Check(t, w.Dropped() >= 499, qt.IsTrue, qt.Commentf("%d", w.Dropped()))
	close(stalledOut.release)
	w.Flush(5 * time.Second)
	var line map[string]any
	qt.Assert(t, json.Unmarshal(bytes.SplitN(stalledOut.written.Bytes(), []byte("\n"), 2)[0], &line), qt.IsNil)
	qt.Check(t, line["request"], qt.Equals, "5c")
}
