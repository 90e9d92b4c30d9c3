package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
		<-time.After(time.Millisecond)
	}
}
