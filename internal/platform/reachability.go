package platform

import (
	"sync"
	"time"
)

// reachability remembers whether the platform answered last, and since when.
// Before the first answer it counts as out of reach.
type reachability struct {
	mu    sync.Mutex
	up    bool
	since time.Time
}

func newReachability(now time.Time) *reachability { return &reachability{since: now} }

func (r *reachability) note(up bool, now time.Time) {
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
