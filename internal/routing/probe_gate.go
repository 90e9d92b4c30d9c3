package routing

import (
	"context"
	"sync"
	"time"
)

const waiterRecheckInterval = 500 * time.Millisecond // a waiting write that no probe woke retries by itself after this

// probeGate limits the retries of writes that are held until a failover ends:
// of the writes that need the same slot, one probes and the others wait for its
// result. The zero value is ready to use.
type probeGate struct {
	mu        sync.Mutex // guards the fields below
	probing   bool
	succeeded chan struct{} // closed when a probe succeeds
	handoff   chan struct{} // holds a token when the probe gave up and another write must go on
}

// tryProbe makes the caller the probe if there is none. Otherwise it returns
// the channels to wait on.
func (g *probeGate) tryProbe() (probe bool, succeeded, handoff chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.probing {
		g.probing = true
		return true, nil, nil
	}
	if g.succeeded == nil {
		g.succeeded = make(chan struct{})
		g.handoff = make(chan struct{}, 1)
	}
	return false, g.succeeded, g.handoff
}

// endProbe ends the caller's probe. Success wakes all waiting writes, failure
// wakes one.
func (g *probeGate) endProbe(success bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	if g.succeeded == nil {
		return
	}
	if success {
		close(g.succeeded)
		g.succeeded = nil
		return
	}
	select {
	case g.handoff <- struct{}{}:
	default:
	}
}

// wait delays a batch until its next attempt. It returns whether the batch is
// the probe; ok is false if ctx ended first.
func (g *probeGate) wait(ctx context.Context, probe bool, backoff time.Duration) (isProbe, ok bool) {
	if probe {
		return true, sleep(ctx, backoff)
	}
	probe, succeeded, handoff := g.tryProbe()
	if probe {
		return true, sleep(ctx, backoff)
	}
	timer := time.NewTimer(waiterRecheckInterval)
	defer timer.Stop()
	select {
	case <-succeeded:
	case <-handoff:
	case <-timer.C:
	case <-ctx.Done():
		return false, false
	}
	return false, true
}
