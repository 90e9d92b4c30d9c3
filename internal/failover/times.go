package failover

import "time"

// Times are a machine's periods.
type Times struct {
	Poll           time.Duration // between status requests to the primary
	SparsePoll     time.Duration // to the other targets while all is well
	FastPoll       time.Duration // to every target while something is wrong
	ProbeAfter     time.Duration // of silence a new connection is tried
	SuspectAfter   time.Duration // of silence, also on the new connection, the primary is taken for dead
	Stagger        time.Duration // between hosts of neighbouring rank
	OrderTimeout   time.Duration // of a step of the change, after which it begins again
	PromoteTimeout time.Duration // of a promotion, in which the target applies all that it received
	CatchUp        time.Duration // for a replica to get the last entries of a leaving primary
	StuckAfter     time.Duration // without progress of a majority the primary is taken for cut off
	LongestStuck   time.Duration // bounds StuckAfter's growth after changes that didn't help
	RepairAfter    time.Duration // an old term is left to the promoting host
	RepairEvery    time.Duration // between orders to one target
	PublishLate    time.Duration // an outcome is left to the promoting host to publish
	Backoff        time.Duration // first pause after an attempt that failed
	LongestPause   time.Duration // of backing off
	HandoverPause  time.Duration // after a planned move that failed
	Asleep         time.Duration // between two steps means that this process was paused
	Alert          time.Duration // targets are polled fast after another host asked
}

const (
	shortestPoll = 125 * time.Millisecond   // of a host with few groups; shorter ones only cost more
	pollShare    = 62500 * time.Microsecond // a group's part of the interval: 16 polls of primaries a second bound the cost of control
)

// TimesFor returns the periods of a host that watches that many groups. The
// more they are, the longer it takes to suspect a primary.
func TimesFor(groups int) Times {
	poll := max(shortestPoll, time.Duration(groups)*pollShare)
	return Times{
		Poll:           poll,
		SparsePoll:     4 * poll,
		FastPoll:       50 * time.Millisecond,
		ProbeAfter:     poll + 75*time.Millisecond,
		SuspectAfter:   poll + 275*time.Millisecond,
		Stagger:        75 * time.Millisecond,
		OrderTimeout:   600 * time.Millisecond,
		PromoteTimeout: 4 * time.Second,
		CatchUp:        300 * time.Millisecond,
		StuckAfter:     600*time.Millisecond + poll,
		LongestStuck:   30 * time.Second,
		RepairAfter:    250 * time.Millisecond,
		RepairEvery:    250 * time.Millisecond,
		PublishLate:    3 * time.Second,
		Backoff:        100 * time.Millisecond,
		LongestPause:   600 * time.Millisecond,
		HandoverPause:  2 * time.Second,
		Asleep:         300 * time.Millisecond,
		Alert:          time.Second,
	}
}
