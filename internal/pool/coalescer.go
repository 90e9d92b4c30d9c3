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
func (r *statusCoalescer) get(ctx context.Context) (target.Status, error) {
	call := r.join()
	select {
	case <-call.done:
		return call.status, call.err
	case <-ctx.Done():
		return target.Status{}, ctx.Err()
	}
}

// join returns the pending round trip and creates it if there is none.
func (r *statusCoalescer) join() *controlCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &controlCall{done: make(chan struct{})}
	}
	call := r.next
	if !r.running {
		r.running = true
		go r.loop()
	}
	return call
}

// loop makes round trips until none is pending.
func (r *statusCoalescer) loop() {
	for {
		r.mu.Lock()
		call := r.next
		r.next = nil
		if call == nil {
			r.running = false
		}
		r.mu.Unlock()
		if call == nil {
			return
		}
		call.status, call.err = r.roundTrip()
		close(call.done)
	}
}
