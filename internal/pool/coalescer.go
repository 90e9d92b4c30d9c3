package pool

import (
	"context"
	"sync"

	"nettlewalk.example/nettlewalk/internal/target"
)

// statusCoalescer shares status round trips between concurrent callers: one is
// in flight and at most one more is pending. Each caller gets the result of a
// round trip that began after its call.
type statusCoalescer struct {
	roundTrip func() (target.Status, error) // must return within a bounded time

	mu      sync.Mutex
	running bool
	next    *controlCall
}

// controlCall is one round trip. Its result is valid once done is closed.
type controlCall struct {
	done   chan struct{}
	status target.Status
	err    error
}

// get returns the result of a round trip that begins after the call.
func (c *statusCoalescer) get(ctx context.Context) (target.Status, error) {
	call := c.join()
	select {
	case <-call.done:
		return call.status, call.err
	case <-ctx.Done():
		return target.Status{}, ctx.Err()
	}
}

// join returns the pending round trip and creates it if there is none.
func (c *statusCoalescer) join() *controlCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &controlCall{done: make(chan struct{})}
	}
	call := c.next
	if !c.running {
		c.running = true
		go c.loop()
	}
	return call
}

// loop makes round trips until none is pending.
func (c *statusCoalescer) loop() {
	for {
		c.mu.Lock()
		call := c.next
		c.next = nil
		if call == nil {
			c.running = false
		}
		c.mu.Unlock()
		if call == nil {
			return
		}
		call.status, call.err = c.roundTrip()
		close(call.done)
	}
}
