package customer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// A host that read its configuration from a peer, and doesn't know yet whether
// it is current, isn't cut off before it had time to learn that.
func TestNewHostIsNotCutOff(t *testing.T) {
	s := NewStore(logr.Discard(), nil)
	for _, kind := range Kinds {
		s.ResetAt(kind, platform.List{}, time.Time{})
	}
	qt.Assert(t, s.Ready(), qt.IsTrue)
	qt.Check(t, OutOfTouch(s), qt.Equals, "")
	s.started = s.started.Add(-2 * outOfTouchAfter)
	qt.Check(t, OutOfTouch(s), qt.Equals, "neither the platform nor a peer in touch with it answered for 40s")
}
