// Package clock holds the source of package steady's time, so that only packages below
// steady can replace it.
package clock

import (
	"sync/atomic"
	"time"
)

var replacement atomic.Pointer[func() time.Time]

// Replace makes Replaced return now. It replaces an earlier one; nil ends replacing.
func Replace(now func() time.Time) {
	if now == nil {
		replacement.Store(nil)
		return
	}
	replacement.Store(&now)
}

// Replaced returns the time of the replacement, and false if there is none.
func Replaced() (time.Time, bool) {
	now := replacement.Load()
	if now == nil {
		return time.Time{}, false
	}
	return (*now)(), true
}
