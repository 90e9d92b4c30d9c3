package pool

import (
	"context"
	"sync"

	"nettlewalk.example/nettlewalk/internal/target"
)

// rounds shares control round trips among those who wait: one is in flight and
// at most one is next. Each caller gets an answer of a round that began after
// its call.
type rounds struct {
	run func() (target.Status, error) // one round trip, bounded in time

	mu      sync.Mutex
	running bool
	next    *round
}

// round is one round trip with its answer once done is closed.
type round struct {
	done   chan struct{}
	status target.Status
	err    error
}

func (r *rounds) ask(ctx context.Context) (target.Status, error) {
	mine := r.join()
	select {
	case <-mine.done:
		return mine.status, mine.err
	case <-ctx.Done():
		return target.Status{}, ctx.Err()
	}
}

func (r *rounds) join() *round {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	mine := r.next
	if !r.running {
		r.running = true
		go r.loop()
	}
	return mine
}

func (r *rounds) loop() {
	for {
		r.mu.Lock()
		current := r.next
		r.next = nil
		if current == nil {
			r.running = false
		}
		r.mu.Unlock()
		if current == nil {
			return
		}
		current.status, current.err = r.run()
		close(current.done)
	}
}
