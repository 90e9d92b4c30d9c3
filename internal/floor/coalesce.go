package floor

import (
	"context"
	"sync"
)

// coalescer runs one piece of work for many callers. Each gets the result of a
// run that began after its call, and whose keys include its own.
type coalescer[T any] struct {
	work func(keys []string) (T, error)

	mu      sync.Mutex // guards the fields below
	running bool
	next    *run[T] // begins when the present run ends
}

type run[T any] struct {
	keys  map[string]struct{} // complete when the run begins
	done  chan struct{}       // closed when the fields below are set
	value T
	err   error
}

func newCoalescer[T any](work func(keys []string) (T, error)) *coalescer[T] {
	return &coalescer[T]{work: work}
}

// do returns the result of a run that began after the call, or ctx's error.
func (c *coalescer[T]) do(ctx context.Context, key string) (T, error) {
	r := c.join(key)
	select {
	case <-r.done:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

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
		go c.loop()
	}
	return r
}

func (c *coalescer[T]) loop() {
	for r := c.take(); r != nil; r = c.take() {
		keys := make([]string, 0, len(r.keys))
		for key := range r.keys {
			keys = append(keys, key)
		}
		r.value, r.err = c.work(keys)
		close(r.done)
	}
}

// take returns the run that begins now, nil if nobody waits.
func (c *coalescer[T]) take() *run[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next = nil
	c.running = r != nil
	return r
}
