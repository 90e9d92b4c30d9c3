package share

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
)

// SetEnd sets from when on requests get no connection (package steady), since the target
// leaves; the zero time is never. Requests that wait then are refused. Connections in use
// may be used on, and TryAcquireAny still returns idle ones.
func (p *Pool) SetEnd(end time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if end.Equal(p.end) {
		return
	}
	p.end = end
	if end.IsZero() {
		return
	}
	time.AfterFunc(end.Sub(steady.Now()), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.end.Equal(end) { // it may have been changed meanwhile
			p.refuseWaiting()
		}
	})
}

// Ended reports whether the end set by SetEnd has come.
func (p *Pool) Ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasEnded()
}

// hasEnded is Ended for callers that hold p.mu.
func (p *Pool) hasEnded() bool { return !p.end.IsZero() && !steady.Now().Before(p.end) }
