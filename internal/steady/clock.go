// Package steady provides a monotonic clock that continues to advance while the host
// is suspended. The Go runtime's monotonic clock stops during a suspension, so that
// data read before the suspension would seem fresh after it.
package steady

import (
	"time"

	"golang.org/x/sys/unix"

	"nettlewalk.example/nettlewalk/internal/steady/internal/clock"
)

// Now returns the time since the host booted, expressed as a time.Time since the
// Unix epoch. Only the differences between such times are meaningful.
func Now() time.Time {
	if now, ok := clock.Replaced(); ok {
		return now
	}
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return time.Now() // the kernel has no boot-time clock; suspensions aren't counted
	}
	return time.Unix(sinceBoot.Unix())
}
