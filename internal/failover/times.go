package failover

import "time"

// Timings are the intervals, timeouts and delays of a machine.
type Timings struct {
	PrimaryPoll      time.Duration // interval of status requests to the primary
	ReplicaPoll      time.Duration // interval of status requests to each other target while the group is healthy
	FastPoll         time.Duration // interval of status requests to every target during a failure
	ProbeAfter       time.Duration // silence after which a new connection is tried
	DetectionTimeout time.Duration // silence, on a new connection too, after which the primary is considered dead
	Stagger          time.Duration // delay between hosts of consecutive rank
	StepTimeout      time.Duration // for a step of a failover, after which the attempt is abandoned and retried
	PromoteTimeout   time.Duration // for a promotion, during which the target applies all entries it received
	CatchUpTimeout   time.Duration // for a replica to receive the last entries of a leaving primary
	StallTimeout     time.Duration // time without replication progress after which the primary is considered cut off
	MaxStallTimeout  time.Duration // limit of the stall timeout, which grows after failovers that restored no progress
	RepairDelay      time.Duration // during which only the promoting host tells a target to follow
	RepairInterval   time.Duration // interval of Follow orders to one target
	RepublishDelay   time.Duration // during which only the promoting host publishes a new primary
	InitialBackoff   time.Duration // after the first failed attempt
	MaxBackoff       time.Duration // longest pause after a failed attempt
	HandoverCooldown time.Duration // before the next handover after a failed one
	PauseThreshold   time.Duration // gap between two steps that means that this process was paused
	FastPollDuration time.Duration // fast polling after another host asked for an opinion
}

const (
	minPollInterval      = 125 * time.Millisecond   // for a host with few groups; a shorter interval costs more and gains nothing
	pollIntervalPerGroup = 62500 * time.Microsecond // limits a host to 16 polls of primaries per second
)

// TimingsFor returns the timings of a host that watches the given number of
// groups. More groups mean longer poll intervals, so that failures of a primary
// are detected later.
func TimingsFor(groups int) Timings {
	pollInterval := max(minPollInterval, time.Duration(groups)*pollIntervalPerGroup)
	return Timings{
		PrimaryPoll:      pollInterval,
		ReplicaPoll:      4 * pollInterval,
		FastPoll:         50 * time.Millisecond,
		ProbeAfter:       pollInterval + 75*time.Millisecond,
		DetectionTimeout: pollInterval + 275*time.Millisecond,
		Stagger:          75 * time.Millisecond,
		StepTimeout:      600 * time.Millisecond,
		PromoteTimeout:   4 * time.Second,
		CatchUpTimeout:   300 * time.Millisecond,
		StallTimeout:     600*time.Millisecond + pollInterval,
		MaxStallTimeout:  30 * time.Second,
		RepairDelay:      250 * time.Millisecond,
		RepairInterval:   250 * time.Millisecond,
		RepublishDelay:   3 * time.Second,
		InitialBackoff:   100 * time.Millisecond,
		MaxBackoff:       600 * time.Millisecond,
		HandoverCooldown: 2 * time.Second,
		PauseThreshold:   300 * time.Millisecond,
		FastPollDuration: time.Second,
	}
}
