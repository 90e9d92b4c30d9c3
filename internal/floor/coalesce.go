package floor

import (
	"context"
	"sync"
)

// coalescer shares one fetch among concurrent callers. Each caller gets the result
// of a run that began after its call and whose keys include its own. At most one
// run is in progress at a time.
type coalescer[T any] struct {
	fetch func(keys []string) (T, error)

	mu      sync.Mutex // guards the fields below
	running bool
	next    *run[T] // starts when the current run ends
}

// run is one execution of fetch and its result.
type run[T any] struct {
	keys  map[string]struct{} // fixed once the run starts
	done  chan struct{}       // closed when the fields below are set
	value T
	err   error
}

// newCoalescer returns a coalescer that calls fetch with the keys of each run.
func newCoalescer[T any](fetch func(keys []string) (T, error)) *coalescer[T] {
	return &coalescer[T]{fetch: fetch}
}

// do returns the result of a run that began after the call, or ctx's error.
func (c *coalescer[T]) do(ctx context.Context, key string) (T, error) {
	r := c.join(key)
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// join adds key to the next run and returns that run. It starts the run if none is
// in progress.
func (c *coalescer[T]) join(key string) *run[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &run[T]{keys: make(map[string]struct{}), done: make(chan struct{})}
	}
	r := c.next
	r.keys[key] = struct{}{}
	if !c.running {
		c.running = true
		go c.runAll()
	}
	return r
}

// runAll executes runs until no caller waits.
func (c *coalescer[T]) runAll() {
	for r := c.startNext(); r != nil; r = c.startNext() {
		keys := make([]string, 0, len(r.keys))
		for key := range r.keys {
			keys = append(keys, key)
		}
		r.value, r.err = c.fetch(keys)
		close(r.done)
	}
}

// startNext returns the run to start now, or nil if no caller waits.
func (c *coalescer[T]) startNext() *run[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next = nil
	c.running = r != nil
	return r
}
