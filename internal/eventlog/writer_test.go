package eventlog

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stalled is a reader of standard output that takes nothing until it is released.
type stalledWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.written.Write(b)
}

// A reader that stalls holds up nobody who logs; what doesn't fit is counted.
func TestAStalledReaderHoldsNobodyUp(t *testing.T) {
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
