// Package membudget bounds the memory that large messages take at the same time.
package membudget

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"nettlewalk.example/nettlewalk/internal/steady"
)

// Budget is an amount of memory. Who waits for a part of it is served in the order of arrival. It
// is safe for concurrent use. A nil budget has no bound.
type Budget struct {
	free    *semaphore.Weighted
	held    *metrics.Gauge
	refused *metrics.Counter
	bytes   atomic.Int64 // held

	collectedAt atomic.Int64 // when a collection was last requested; steady clock, ns
}

// New returns a budget of so many bytes. The name labels its metrics.
func New(name string, bytes int64) *Budget {
	b := &Budget{free: semaphore.NewWeighted(bytes)}
	b.held = metrics.GetOrCreateGauge(`nettlewalk_large_message_bytes{for="`+name+`"}`, nil)
	b.refused = metrics.GetOrCreateCounter(`nettlewalk_large_messages_refused_total{for="` + name + `"}`)
	return b
}

// Hold is a part of a budget.
type Hold struct{ part *part }

type part struct {
	budget   *Budget
	bytes    int64
	released atomic.Bool
}

// Acquire waits for the bytes until the deadline. It returns nil if they don't become free by
// then. A hold that is no longer referenced is released with the memory that it stands for.
func (b *Budget) Acquire(bytes int64, deadline time.Time) *Hold {
	if b == nil {
		return &Hold{part: &part{}}
	}
	if !b.free.TryAcquire(bytes) && !b.wait(bytes, deadline) {
		b.refused.Inc()
		return nil
	}
	b.held.Set(float64(b.bytes.Add(bytes)))
	h := &Hold{part: &part{budget: b, bytes: bytes}}
	runtime.AddCleanup(h, (*part).release, h.part)
	return h
}

// collectInterval bounds the rate of the collections that look for unreferenced holds.
const collectInterval = time.Second

func (b *Budget) wait(bytes int64, deadline time.Time) bool {
	now, last := steady.Now().UnixNano(), b.collectedAt.Load()
	if now-last >= int64(collectInterval) && b.collectedAt.CompareAndSwap(last, now) {
		go runtime.GC()
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return b.free.Acquire(ctx, bytes) == nil
}

// Release gives the bytes back. Further calls have no effect. A nil hold has none.
func (h *Hold) Release() {
	if h != nil {
		h.part.release()
	}
}

func (p *part) release() {
	if p.budget == nil || p.released.Swap(true) {
		return
	}
	p.budget.held.Set(float64(p.budget.bytes.Add(-p.bytes)))
	p.budget.free.Release(p.bytes)
}
