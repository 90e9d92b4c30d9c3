package relay

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/steady"
)

// trustState is the last assessment of the configuration. It is safe for concurrent use.
type trustState struct {
	mu         sync.Mutex
	last       keys.Trust
	assessedAt time.Time // on the steady clock
	wokeAt     time.Time // when the process went on after it had been frozen; zero: never
}

// assess returns how far the configuration may be trusted now, and logs a change. awaitsNews
// tells whether a request should wait for news before it is judged.
func (t *trustState) assess(s *Server) (trust keys.Trust, awaitsNews bool) {
	now := steady.Now()
	age := s.confirmationAge()
	trust = s.opts.Revocation.Assess(age)
	t.mu.Lock()
	old := t.last
	if keys.WasFrozen(t.assessedAt, now, trustCheckInterval) {
		t.wokeAt = now
	}
	t.last, t.assessedAt = trust, now
	awaitsNews = keys.AwaitsNews(trust, t.wokeAt, now)
	t.mu.Unlock()
	if old != trust {
		s.opts.Log.Info("trust in the configuration changed", "trust", trust.String(), "before", old.String(),
			"confirmed_ms_ago", age.Milliseconds(), "strict", s.opts.Revocation.Strict,
			"timeout_ms", s.opts.Revocation.Timeout.Milliseconds(), "configuration", s.configurationVersion())
	}
	return trust, awaitsNews
}

// get returns the last assessment, 0 if there was none.
func (t *trustState) get() keys.Trust {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// newsPollInterval is the time between checks whether news has arrived.
const newsPollInterval = 5 * time.Millisecond

// awaitNews waits while a request should not be judged yet.
func (s *Server) awaitNews() {
	for {
		if _, awaitsNews := s.trust.assess(s); !awaitsNews {
			return
		}
		time.Sleep(newsPollInterval)
	}
}
