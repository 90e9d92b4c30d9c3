package customer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// TestNewHostIsNotReportedStale covers a host that read its configuration from
// a peer and does not know yet whether the configuration is current. The host
// must not report a stale configuration before it had time to find out.
func TestNewHostIsNotReportedStale(t *testing.T) {
	s := NewStore(logr.Discard(), nil)
	for _, kind := range Kinds {
		s.ResetAt(kind, platform.List{}, time.Time{})
	}
	qt.Assert(t, s.Ready(), qt.IsTrue)
	qt.Check(t, StaleReason(s), qt.Equals, "")
	s.started = s.started.Add(-2 * staleAfter)
	qt.Check(t, StaleReason(s), qt.Equals, "configuration not confirmed by the platform or a peer for 40s")
}
