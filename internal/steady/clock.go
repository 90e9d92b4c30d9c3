// Package steady is a clock that only rises, and that goes on while the host
// is suspended. The runtime's monotonic clock stands still then, so that data
// read before a suspension would seem fresh after it.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started, as a time. Only differences of
// such times mean anything.
func Now() time.Time {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return time.Now() // a kernel without that clock: suspensions go unnoticed
	}
	return time.Unix(sinceBoot.Unix())
}
