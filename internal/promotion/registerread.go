package promotion

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// registerReadInterval is the time between reads of the register by one watcher.
	registerReadInterval = time.Second
	// registerReadTimeout bounds how long a promotion waits for such a read. The store
	// usually answers within milliseconds; without it the register is as other hosts told it.
	registerReadTimeout = 150 * time.Millisecond
)

// registerReads reads the register of targets while replicas are being paused.
type registerReads struct {
	startedAt time.Time
	done      chan struct{} // closed when the read has ended, nil before the first one
	// succeededAt is the start of the newest read that the store answered.
	succeededAt atomic.Pointer[time.Time]
}

// start begins a read unless the latest one is recent.
func (r *registerReads) start(ctx context.Context, read func(context.Context) error, now time.Time) {
	if read == nil || now.Sub(r.startedAt) < registerReadInterval {
		return
	}
	r.startedAt, r.done = now, make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, registerReadTimeout)
		defer cancel()
		if err := read(ctx); err == nil { // it logs its failures
			r.succeededAt.Store(&now)
		}
	}(r.done)
}

// succeededSince reports whether the store has answered a read that began after t.
func (r *registerReads) succeededSince(t time.Time) bool {
	at := r.succeededAt.Load()
	return at != nil && at.After(t)
}

// wait returns when the latest read has ended.
func (r *registerReads) wait(ctx context.Context) {
	if r.done == nil {
		return
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}
