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
	// at 40 % leaves the second and third reader time to take over. For the
	// configuration, the 25 % after the fallback are enough, because it takes
	// effect as soon as it is read. The registry has an earlier fallback, because
	// replacing a leaving target that is the primary takes one more second.
	periodPercent                = 40
	configurationFallbackPercent = 75
	registerFallbackPercent      = 58
	// ReaderCount is the number of designated readers: the hosts of the lowest ranks,
	// which read the store before all other hosts. They are in different failure
	// domains if there are enough of those.
	ReaderCount = 3
	// backupReaderCount is the number of hosts of the lowest ranks that read the store
	// while reads take long. One host reads for a third of its time at most, so that
	// three readers bring a change too late for the others to wait for it.
	backupReaderCount = 3 * ReaderCount
	// backupDelay staggers those readers that aren't designated ones.
	backupDelay = 150 * time.Millisecond
	// usualReadDelay is the part of the delay until a read is known (see readDelays) that
	// is due to gossip. Only what exceeds it is a sign of long reads.
	usualReadDelay = 500 * time.Millisecond
	// longReadFactor is how much longer the remaining hosts wait for a read, as a multiple
	// of what its delay exceeds usualReadDelay. With 1, all 86 hosts of a fleet read by
	// themselves once a read takes 2.5 s, and with 2, the loss of all nine readers is
	// found later for no fewer reads.
	longReadFactor = 1.5
	// maxStartupDelay bounds how long a starting host waits in addition, by its rank, for
	// the first read that it learns of. It covers a read of two seconds and its news.
	maxStartupDelay = 3500 * time.Millisecond
	// rankDelay staggers the readers: the first one reads, and the others read
	// only if they don't learn of that read within one gossip round.
	rankDelay = 350 * time.Millisecond
	// readPauseFactor is the pause after a read, as a multiple of the time that it took.
	// A host spends at most a third of its time, and so of a slow link, on reads of one
	// kind.
	readPauseFactor = 2
)

// ConfigurationSchedule returns the schedule for configurations that must take
// effect within maxDelay.
func ConfigurationSchedule(maxDelay time.Duration) Schedule {
	return Schedule{Period: maxDelay * periodPercent / 100, FallbackAge: maxDelay * configurationFallbackPercent / 100}
}

// RegistrySchedule returns the schedule for the target registry. leaveNotice is
// the time between a target's announcement that it leaves and its stop.
func RegistrySchedule(leaveNotice time.Duration) Schedule {
	return Schedule{Period: leaveNotice * periodPercent / 100, FallbackAge: leaveNotice * registerFallbackPercent / 100}
}

// dueAge returns the age of the newest read at which a host of the given rank reads the
// store. readDelay is how old reads are when they become known. While reads take long,
// some more hosts read early enough for a change to take effect in time, and the others
// wait until these reads should have become known.
func (s Schedule) dueAge(rank int, readDelay time.Duration) time.Duration {
	excess := max(0, readDelay-usualReadDelay)
	switch {
	case rank < ReaderCount:
		return s.Period + time.Duration(rank)*rankDelay
	case excess == 0:
		return s.FallbackAge
	case rank < backupReaderCount:
		return max(s.Period+rankDelay, s.FallbackAge-excess) + time.Duration(rank-ReaderCount)*backupDelay
	}
	return s.FallbackAge + time.Duration(longReadFactor*float64(excess))
}

// startupDelay returns how much longer a host of the given rank waits for the first read
// that it learns of. A starting host doesn't know yet how long reads take.
func startupDelay(rank int) time.Duration {
	return min(time.Duration(max(0, rank-ReaderCount))*rankDelay, maxStartupDelay)
}

// readScheduler decides when one host reads the store. It has no clock; the
// caller passes the current time.
type readScheduler struct {
	schedule       Schedule
	startedAt      time.Time     // when this process started polling
	retryAt        time.Time     // no read before this time, after a failed or long read
	failureBackoff time.Duration // delay after the last read, if that read failed
	readDelays     readDelays
}

// due reports whether a host of the given rank should read the store. last is
// the time of the newest known read, or zero if none is known. At startup only
// the first reader reads the store at once; all other hosts first wait to learn
// of a read by another host.
func (s *readScheduler) due(last time.Time, rank int, now time.Time) bool {
	s.readDelays.check(last, s.startedAt, now)
	dueAge := s.schedule.dueAge(rank, s.readDelays.shortest())
	if last.IsZero() {
		last = s.startedAt.Add(-s.schedule.Period)
		dueAge += startupDelay(rank)
	}
	return !now.Before(s.retryAt) && now.Sub(last) >= dueAge
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

// recordRead records the end of a read whose request was sent at sentAt.
func (s *readScheduler) recordRead(ok bool, sentAt, now time.Time) {
	s.recordResult(ok, now)
	if ok {
		s.readDelays.recordOwn(sentAt, now)
		s.retryAt = now.Add(readPauseFactor * now.Sub(sentAt))
	}
}
