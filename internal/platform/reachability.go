package platform

import (
	"sync"
	"time"
)

// reachability tracks whether the last attempt reached the platform, and since
// when this state has lasted. Until the first answer the platform counts as
// unreachable.
type reachability struct {
	mu    sync.Mutex
	up    bool
	since time.Time
}

func newReachability(now time.Time) *reachability { return &reachability{since: now} }

func (r *reachability) record(up bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up != up {
		r.up, r.since = up, now
	}
}

func (r *reachability) get() (up bool, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up, r.since
}
