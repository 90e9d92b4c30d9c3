package relay

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// maxAgeMargin is subtracted from a route's bound on the age of reads, because
	// the target serves the read slightly later than this host chooses the anchor,
	// the log position that the read must include.
	maxAgeMargin = 100 * time.Millisecond
	// minQueueWaitDivisor sets the minimum queue wait as a fraction of the route's
	// latency goal. It applies where the target takes longer than the goal itself:
	// late answers are still useful, and a short queue keeps the target busy.
	minQueueWaitDivisor = 4
	// promotionDuration is how long a group usually has no leader after its primary
	// fails: half a second to confirm the loss, and some hundred milliseconds for
	// the promotion.
	promotionDuration = 1200 * time.Millisecond
	// maxTries limits how often one statement is sent. It is sent again only if it
	// is guaranteed not to have run, or is a read.
	maxTries = 4
	// idleCheckThreshold is the idle time after which a connection is checked
	// before use, because it may have failed silently.
	idleCheckThreshold = 2 * time.Second
	// idleCheckTimeout bounds that check, a round trip without a work slot.
	idleCheckTimeout = 100 * time.Millisecond
)

// destination tells which targets may run a statement.
type destination uint8

const (
	writeAtLeader  destination = iota // a write, which only the leader accepts
	verifiedLeader                    // a read at the leader, in a transaction that proves that it leads
	anyReader                         // a read at any target that has the required position
)

// chooseDestination decides which targets may run a single statement, and which
// log position they must have. covered is a position that includes every commit
// that the route's age bound requires; coveredKnown tells whether one is known.
func chooseDestination(writes bool, freshness catalog.Freshness, floor, covered topology.Position, coveredKnown bool) (destination, topology.Position) {
	switch {
	case writes:
		return writeAtLeader, topology.Position{}
	case freshness == catalog.LatestData, !coveredKnown:
		return verifiedLeader, topology.Position{}
	case freshness == catalog.OwnWrites:
		return anyReader, topology.Later(covered, floor)
	}
	return anyReader, covered
}

const (
	// minReadTimeout is the minimum time that a read waits for one of several
	// targets before it tries another one. Almost all answers take less.
	minReadTimeout = 250 * time.Millisecond
	// readTimeoutFactor is the read timeout as a multiple of the target's mean
	// latency, unless minReadTimeout is longer.
	readTimeoutFactor = 8
)

// readTimeout returns how long a read waits for a target with the given mean
// latency before it tries another one. Without this limit, a target that doesn't
// respond would use up the whole time of the read. Under load the mean grows, so
// that reads aren't sent twice.
func readTimeout(meanLatency time.Duration) time.Duration {
	return max(minReadTimeout, readTimeoutFactor*meanLatency)
}

// maxQueueWait returns the longest expected wait for a connection at which a
// request of the route is queued rather than refused: what the mean latency of the
// target leaves of the latency goal. Under sustained overload the target serves the
// same number of requests either way, and longer waits only make all of them late.
// Requests that are refused at once have time to be retried.
func maxQueueWait(route *catalog.Route, meanLatency time.Duration) time.Duration {
	if route.LatencyGoal <= 0 {
		return route.StatementTimeout
	}
	return min(max(route.LatencyGoal-meanLatency, route.LatencyGoal/minQueueWaitDivisor), route.StatementTimeout)
}

// maxLeaderWait returns how long a request waits for a leader after the loss of
// one. It returns 0 if the wait would most likely be in vain: the loss has just
// begun and the request can't outlast it, or the loss has lasted longer than a
// promotion takes and its end can't be predicted. If the last leader itself reported
// that it was deposed, a new leader exists and only has to be found.
func maxLeaderWait(route *catalog.Route, loss group.LeaderLoss) time.Duration {
	remaining := expectedLeaderLoss(loss) - loss.Duration
	if remaining <= 0 || remaining > route.StatementTimeout {
		return 0
	}
	return min(remaining+leaderWaitMargin, route.StatementTimeout)
}

// expectedLeaderLoss returns how long the group is expected to be without a known leader.
func expectedLeaderLoss(loss group.LeaderLoss) time.Duration {
	if loss.Demoted {
		return leaderDiscoveryTime
	}
	return promotionDuration
}

const (
	// leaderDiscoveryTime is the longest time that it takes to find an existing
	// leader: some probes of each target.
	leaderDiscoveryTime = 300 * time.Millisecond
	// leaderWaitMargin is added to the time that a promotion is expected to still take.
	leaderWaitMargin = 100 * time.Millisecond
)

// classifyBreak returns the code for a statement whose connection broke, and
// whether the statement may be retried at once.
func classifyBreak(broken *statement.ConnError, writes bool) (code statement.Code, retry bool) {
	switch {
	case !broken.Sent:
		return statement.Busy, true
	case broken.Timeout:
		return statement.TimedOut, false
	case writes:
		return statement.InDoubt, false
	}
	return statement.Busy, true
}
