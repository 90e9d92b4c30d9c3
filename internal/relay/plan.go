package relay

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// ageMargin is taken off a route's bound on the age of reads: the answer is
	// judged at the target, a little after the anchor was chosen.
	ageMargin = 100 * time.Millisecond
	// leastPatience is the part of a route's latency goal that a request waits at
	// least, where the target takes longer than the goal itself: late answers are
	// worth something, and a short queue keeps the target busy.
	leastPatience = 4
	// promotionTakes is how long a group is usually without a leader when its
	// primary fails: half a second until the loss is certain, and some hundred
	// milliseconds for the promotion.
	promotionTakes = 1200 * time.Millisecond
	// mostTries bounds how often one statement is sent, each time after a
	// promise that it didn't run.
	mostTries = 4
	// checkIdleAfter is the idle time after which a connection is checked
	// before it is used: it may have gone silent meanwhile.
	checkIdleAfter = 2 * time.Second
	// checkTimeout bounds that check, a round trip without a work slot.
	checkTimeout = 100 * time.Millisecond
)

// where says where a statement may run.
type where uint8

const (
	atLeader where = iota // as a write, which the leader alone accepts
	guarded               // a read at the leader, with a proof that it leads
	anywhere              // a read at whatever target has a position
)

// place decides where a single statement may run, and what its target must
// have. covered is a position with every commit that the route's age bound
// asks for, if one is known.
func place(writes bool, f catalog.Freshness, floor, covered topology.Position, known bool) (where, topology.Position) {
	switch {
	case writes:
		return atLeader, topology.Position{}
	case f == catalog.LatestData, !known:
		return guarded, topology.Position{}
	case f == catalog.OwnWrites:
		return anywhere, topology.Later(covered, floor)
	}
	return anywhere, covered
}

const (
	// shortestTry is how long a read waits at least for one of several targets
	// before it tries another. Almost all answers take less.
	shortestTry = 250 * time.Millisecond
	// triesLong times a target's mean time to answer is waited for at least.
	triesLong = 8
)

// tryWithin is how long a read waits for the answer of a target that usually
// takes so long. A silent target would use up the whole time that the read has;
// under load the mean grows, and reads aren't sent twice.
func tryWithin(took time.Duration) time.Duration {
	return max(shortestTry, triesLong*took)
}

// patience is how long a request of the route may expect to wait for a
// connection to a target that usually takes so long, before it is refused
// instead: what is left of its latency goal. Under a lasting load that a target
// can't serve, this many are served either way, and a longer wait only makes all of
// them late. Refused at once, the others have time to come back.
func patience(r *catalog.Route, took time.Duration) time.Duration {
	if r.LatencyGoal <= 0 {
		return r.StatementTimeout
	}
	return min(max(r.LatencyGoal-took, r.LatencyGoal/leastPatience), r.StatementTimeout)
}

// leaderPatience is how long a request waits for a leader after the loss of one.
// It doesn't wait for what is most likely not over in time: a loss that has just
// begun, when the request can't outlast it, and one that has lasted longer than
// a promotion takes, whose end nobody can tell. Where the last leader said
// itself that it was replaced, the next one is there and only to be found.
func leaderPatience(r *catalog.Route, loss group.Loss) time.Duration {
	takes := promotionTakes
	if loss.Deposed {
		takes = leaderSearch
	}
	left := takes - loss.For
	if left <= 0 || left > r.StatementTimeout {
		return 0
	}
	return min(left+leaderMargin, r.StatementTimeout)
}

const (
	// leaderSearch is how long it takes at most to find a leader that is there:
	// some looks at each target.
	leaderSearch = 300 * time.Millisecond
	// leaderMargin is added to what a promotion is expected to take still.
	leaderMargin = 100 * time.Millisecond
)

// afterBreak tells what a caller is told about a statement whose connection
// broke, and whether it may run again at once.
func afterBreak(b *statement.Broken, writes bool) (code statement.Code, again bool) {
	switch {
	case !b.Sent:
		return statement.Busy, true
	case b.Timeout:
		return statement.TimedOut, false
	case writes:
		return statement.InDoubt, false
	}
	return statement.Busy, true
}
