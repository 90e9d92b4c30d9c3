package catalog

import (
	"slices"
	"time"
)

const (
	// readDelayCount is the number of reads whose delays are remembered. The shortest of
	// them is used, since gossip brings news late now and then.
	readDelayCount = 4
	// maxCheckGap is the time between two checks above which a read that is new at the
	// second one may have been known for a while: this host was suspended or read itself.
	maxCheckGap = 500 * time.Millisecond
)

// readDelays learns how old reads of the store are when this host learns of them. That is
// the time that a read takes plus the time of gossip. It has no clock.
type readDelays struct {
	newest    time.Time // when the newest known read was sent
	checkedAt time.Time
	delays    []time.Duration // of the latest reads, at most readDelayCount
}

// check records that last is the newest known read. A read counts if it was sent after this
// host had started and wasn't known at a check shortly before.
func (d *readDelays) check(last, startedAt, now time.Time) {
	watched := now.Sub(d.checkedAt) <= maxCheckGap && last.After(startedAt)
	d.checkedAt = now
	if !last.After(d.newest) {
		return
	}
	d.newest = last
	if watched {
		d.add(now.Sub(last))
	}
}

// recordOwn records a read of this host.
func (d *readDelays) recordOwn(sentAt, now time.Time) {
	d.newest = later(d.newest, sentAt)
	d.add(now.Sub(sentAt))
}

func (d *readDelays) add(delay time.Duration) {
	d.delays = append(d.delays, delay)
	d.delays = d.delays[max(0, len(d.delays)-readDelayCount):]
}

// shortest returns the shortest of the remembered delays, 0 if there is none.
func (d *readDelays) shortest() time.Duration {
	if len(d.delays) == 0 {
		return 0
	}
	return slices.Min(d.delays)
}
