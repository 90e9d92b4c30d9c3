package catalog

import "time"

// Schedule says how old the newest read of the store may grow, as far as a host
// knows. Hosts read it beside their watches, which may stop delivering events.
type Schedule struct {
	Period time.Duration // until the first of the hosts that read does so again
	Latest time.Duration // until every other host does, if it heard of no newer read
}

const (
	// The parts of the time within which news must be in force, in hundredths.
	// After two fifths the second and third reader have time to step in. A
	// configuration is in force once it is read: after three quarters the rest is
	// left for that. A leaving target that leads is also to be replaced, which
	// takes a second more.
	periodPart              = 40
	latestConfigurationPart = 75
	latestRegisterPart      = 58
	// Readers is how many hosts read in turn; they are of different failure
	// domains where there are as many.
	Readers = 3
	// rankDelay keeps them from reading at once: the first does, and the others
	// only if they don't hear of it within a round of gossip.
	rankDelay = 350 * time.Millisecond
)

// ConfigurationSchedule returns when to read configurations that must be in
// force within a time.
func ConfigurationSchedule(within time.Duration) Schedule {
	return Schedule{Period: within * periodPart / 100, Latest: within * latestConfigurationPart / 100}
}

// RegisterSchedule returns when to read the register where a target ends that
// long after it said that it leaves.
func RegisterSchedule(within time.Duration) Schedule {
	return Schedule{Period: within * periodPart / 100, Latest: within * latestRegisterPart / 100}
}

// after returns how old the newest read must be for a host of the rank to read.
func (s Schedule) after(rank int) time.Duration {
	if rank >= Readers {
		return s.Latest
	}
	return s.Period + time.Duration(rank)*rankDelay
}

// reader decides when one host reads. It is a plain value without clock.
type reader struct {
	schedule Schedule
	begun    time.Time     // of this process
	notYet   time.Time     // no read before, after one that failed
	pause    time.Duration // after the last read, if it failed
}

// due tells whether a host of the rank should read what was last read at a time,
// the zero time: never, as far as it knows. A host that starts asks others before
// the store, unless it is the first that reads.
func (r *reader) due(last time.Time, rank int, now time.Time) bool {
	if last.IsZero() {
		last = r.begun.Add(-r.schedule.Period)
	}
	return !now.Before(r.notYet) && now.Sub(last) >= r.schedule.after(rank)
}

// ended notes the end of a read. After failures it pauses for longer each time,
// up to the period: the store may turn this host away and serve others, whose
// reads count as well.
func (r *reader) ended(ok bool, now time.Time) {
	if ok {
		r.pause, r.notYet = 0, time.Time{}
		return
	}
	r.pause = min(max(2*r.pause, rankDelay), r.schedule.Period)
	r.notYet = now.Add(r.pause)
}
