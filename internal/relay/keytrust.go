package relay

import (
	"sync/atomic"

	"nettlewalk.example/nettlewalk/internal/keys"
)

// trustState is the last assessment of the configuration. It is safe for concurrent use.
type trustState struct{ last atomic.Uint32 }

// assess returns how far the configuration may be trusted now, and logs a change.
func (t *trustState) assess(s *Server) keys.Trust {
	age := s.confirmationAge()
	trust := s.opts.Revocation.Assess(age)
	if old := keys.Trust(t.last.Swap(uint32(trust))); old != trust {
		s.opts.Log.Info("trust in the configuration changed", "trust", trust.String(), "before", old.String(),
			"confirmed_ms_ago", age.Milliseconds(), "strict", s.opts.Revocation.Strict,
			"timeout_ms", s.opts.Revocation.Timeout.Milliseconds(), "configuration", s.configurationVersion())
	}
	return trust
}

// get returns the last assessment, 0 if there was none.
func (t *trustState) get() keys.Trust { return keys.Trust(t.last.Load()) }
