package catalog

import "time"

// Schedule sets how old the newest known read of the store may become before a
// host reads the store itself. Hosts read the store in addition to watching it,
// because a watch may stop delivering events.
type Schedule struct {
	Period      time.Duration // age at which the first designated reader reads the store again
	FallbackAge time.Duration // age at which a host that is not a designated reader reads the store
}

const (
	// Percentages of the time within which a change must take effect. Reading
	// at 40 % leaves the second and third reader time to take over. A
	// configuration takes effect as soon as it is read, so the remaining 25 %
	// is enough for that. A leaving target that is the primary must also be
	// replaced, which takes one more second, so the registry has an earlier
	// fallback.
	periodPercent                = 40
	configurationFallbackPercent = 75
	registerFallbackPercent      = 58
	// Readers is the number of hosts that take turns reading the store, in
	// different failure domains if there are enough of those.
	Readers = 3
	// rankDelay staggers the readers: the first one reads, and the others read
	// only if they don't learn of that read within one gossip round.
	rankDelay = 350 * time.Millisecond
)

// ConfigurationSchedule returns the schedule for configurations that must take
// effect within maxDelay.
func ConfigurationSchedule(maxDelay time.Duration) Schedule {
	return Schedule{Period: maxDelay * periodPercent / 100, FallbackAge: maxDelay * configurationFallbackPercent / 100}
}

// RegisterSchedule returns the schedule for the target registry, where a target
// stops leaveNotice after announcing that it leaves.
func RegisterSchedule(leaveNotice time.Duration) Schedule {
	return Schedule{Period: leaveNotice * periodPercent / 100, FallbackAge: leaveNotice * registerFallbackPercent / 100}
}

// dueAge returns the age of the newest read at which a host of the given rank
// reads the store.
func (s Schedule) dueAge(rank int) time.Duration {
	if rank >= Readers {
		return s.FallbackAge
	}
	return s.Period + time.Duration(rank)*rankDelay
}

// readScheduler decides when one host reads the store. It has no clock; the
// caller passes the current time.
type readScheduler struct {
	schedule       Schedule
	startedAt      time.Time     // when this process started polling
	retryAt        time.Time     // no read before this time, after a failed read
	failureBackoff time.Duration // delay after the last read, if that read failed
}

// due reports whether a host of the given rank should read the store. last is
// the time of the newest known read, or zero if none is known. At startup only
// the first reader reads the store at once; all other hosts first wait to learn
// of a read by another host.
func (s *readScheduler) due(last time.Time, rank int, now time.Time) bool {
	if last.IsZero() {
		last = s.startedAt.Add(-s.schedule.Period)
	}
	return !now.Before(s.retryAt) && now.Sub(last) >= s.schedule.dueAge(rank)
}

// recordResult records the end of a read. Each failure doubles the backoff, up
// to the period: the store may reject this host while it serves other hosts,
// whose reads count as well.
func (s *readScheduler) recordResult(ok bool, now time.Time) {
	if ok {
		s.failureBackoff, s.retryAt = 0, time.Time{}
		return
	}
	s.failureBackoff = min(max(2*s.failureBackoff, rankDelay), s.schedule.Period)
	s.retryAt = now.Add(s.failureBackoff)
}
