package share

import "time"

const (
	// grantHistorySize is the number of grants that are remembered: enough to
	// resolve a share to about 1/60, and few enough to scan for each request
	// that has to wait.
	grantHistorySize = 64
	// grantWindow is how long a grant counts as a sign of the current load. A
	// burst of load that lasts a second is over by then.
	grantWindow = 1 * time.Second
	// minRemainingShare is a lower bound on the share of connection time that
	// is assumed to remain for less urgent requests. The history is short, so
	// the absence of their grants from it doesn't mean that they will get
	// none.
	minRemainingShare = 0.05
)

// grant records that a request of a priority got a connection.
type grant struct {
	priority  int
	grantedAt time.Time
}

// grantHistory remembers the latest grants, to estimate how much of the
// connection time goes to requests that are more urgent than a waiting one. It
// has no lock and no clock of its own.
type grantHistory struct {
	ring [grantHistorySize]grant
	next int
}

func (h *grantHistory) add(priority int, now time.Time) {
	h.ring[h.next] = grant{priority, now}
	h.next = (h.next + 1) % grantHistorySize
}

// remainingShare returns the share of connection time, above 0 and at most 1,
// that remains for requests of the priority after more urgent ones. connections
// is the number of open connections and meanHold is how long a request holds
// one on average.
func (h *grantHistory) remainingShare(priority, connections int, meanHold time.Duration, now time.Time) float64 {
	window, moreUrgent := grantWindow, 0
	if oldest := h.ring[h.next].grantedAt; now.Sub(oldest) < grantWindow {
		window = max(now.Sub(oldest), time.Millisecond) // the ring covers less than grantWindow
	}
	for _, recent := range h.ring {
		if now.Sub(recent.grantedAt) < grantWindow && recent.priority < priority {
			moreUrgent++
		}
	}
	used := float64(moreUrgent) * meanHold.Seconds() / window.Seconds() / float64(max(connections, 1))
	return max(minRemainingShare, 1-used)
}
