package routing

import (
	"context"
	"sync"
	"time"
)

const heldRecheck = 500 * time.Millisecond // a held batch that no probe woke tries by itself

// gate spares a group in failover the retries of every held write: one of those
// that need the same slot probes, the others wait for what it finds. The zero
// value is ready.
type gate struct {
	mu      sync.Mutex // guards the fields below
	probing bool
	opened  chan struct{} // closed when a probe succeeds
	next    chan struct{} // holds a token when the probe gave up and another must go on
}

// enter makes the caller the probe unless there is one. Others get the
// channels to wait on.
func (g *gate) enter() (probe bool, opened, next chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.probing {
		g.probing = true
		return true, nil, nil
	}
	if g.opened == nil {
		g.opened = make(chan struct{})
		g.next = make(chan struct{}, 1)
	}
	return false, g.opened, g.next
}

// leave ends the caller's probe.
func (g *gate) leave(success bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	if g.opened == nil {
		return
	}
	if success {
		close(g.opened)
		g.opened = nil
		return
	}
	select {
	case g.next <- struct{}{}:
	default:
	}
}

// wait holds a batch before its next try. It returns whether the batch is the
// probe, and false as ok if ctx ended first.
func (g *gate) wait(ctx context.Context, probe bool, backoff time.Duration) (isProbe, ok bool) {
	if probe {
		return true, sleep(ctx, backoff)
	}
	probe, opened, next := g.enter()
	if probe {
		return true, sleep(ctx, backoff)
	}
	timer := time.NewTimer(heldRecheck)
	defer timer.Stop()
	select {
	case <-opened:
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
		return false, false
	}
	return false, true
}
