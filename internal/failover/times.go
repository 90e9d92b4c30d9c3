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

// groupsAtFullRate is how many groups a host polls at the shortest interval;
// with more the interval grows, so that the cost of control stays bounded.
const groupsAtFullRate = 4

// TimesFor returns the periods of a host that watches that many groups.
func TimesFor(groups int) Times {
	scale := max(1, (groups+groupsAtFullRate-1)/groupsAtFullRate)
	poll := time.Duration(scale) * 125 * time.Millisecond
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
