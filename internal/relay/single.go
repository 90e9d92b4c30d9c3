package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// request is one statement to run at a target, with the state of its attempts.
type request struct {
	session          *session
	st               *statement.Statement
	route            catalog.Route
	group            *group.Group
	writes           bool
	preparedName     string // prepared statement that it runs; "": none
	beginID          string // ID of the statement that opened its transaction; "": none
	firstStatementID string // ID of the first statement in that transaction
	arrivedAt        time.Time
	deadline         time.Time
	tries            int
	skipped          map[topology.TargetID]bool // targets not to try again: lagging, full or unresponsive
	steps            []string                   // attempts and decisions, for the log
	askedHosts       []topology.HostID          // other hosts that it was forwarded to
	askedDomain      topology.Domain            // of the last of them; "": unknown
	mustLeave        bool                       // no host of the domain has a place for it
	decidedAt        time.Time                  // when it was decided at which targets a read may run
	// peerRefusal is why the host that it was last forwarded to refused it.
	peerRefusal string
	// peerRetryAfter is the retry time that host gave at peerRetryAt, 0 if none.
	peerRetryAfter time.Duration
	peerRetryAt    time.Time
	fromPeer       bool // another host forwarded it; it isn't forwarded again
	noWait         bool // it is refused rather than queued
	// answerLost is set if a call to another host ended without its answer.
	answerLost bool
	// leaderConnsBusy is set if this host has connections to the leader, but all of
	// them are in use.
	leaderConnsBusy bool
	// unconfirmable is set if the request writes, and commits at the leader can't be
	// confirmed by this host.
	unconfirmable bool
	// mayHaveRun is set unless the statement certainly ran at no target.
	mayHaveRun bool
	// earned is the part of what a first sending earns that this host needn't or may not
	// earn any more for the statement.
	earned float64
	// budgetRefused is set if the retry budget refused a sending to a target or to another
	// host, and outOfBudget if the statement isn't sent to a target again.
	budgetRefused, outOfBudget bool
	prepaid                    bool              // asking a further host was charged ahead
	failedAnswer               *statement.Answer // of the first target, if it failed the read
	stateBytes                 int               // of exchanges that applied session state and aren't recorded yet
}

// serveSingle runs one statement outside a transaction.
func (s *session) serveSingle(ctx context.Context, st *statement.Statement, writes bool, preparedName string) statement.Answer {
	r, refused := s.newRequest(st, writes, preparedName)
	if refused != nil {
		return *refused
	}
	admission, refused := r.admit()
	if refused != nil {
		return *refused
	}
	answer, ok := r.run(ctx)
	r.creditIfNotRun(admission)
	r.addRetryTime(&answer)
	s.server.countStatement(r, &answer)
	r.logOutcome("statement", &answer, ok)
	return answer
}

// newRequest returns a request with the current route, which may have changed
// since the session began, or a refusal. A transaction keeps the route of its first
// statement.
func (s *session) newRequest(st *statement.Statement, writes bool, preparedName string) (*request, *statement.Answer) {
	route, ok := s.route()
	if s.tx != nil && s.tx.route != nil {
		route, ok = *s.tx.route, true
	}
	if !ok {
		a := s.refusal(statement.NoDatabase, s.database)
		return nil, &a
	}
	if s.tx != nil {
		s.tx.route = &route
	}
	g := s.server.opts.Groups.Group(route.Group)
	if g == nil {
		a := s.refusal(statement.Busy, "group "+string(route.Group)+" has no targets")
		return nil, &a
	}
	now := time.Now()
	r := &request{session: s, st: st, route: route, group: g, writes: writes, preparedName: preparedName, arrivedAt: now, noWait: s.noWait}
	r.deadline = now.Add(route.StatementTimeout)
	if s.forPeer {
		r.earned = forwardedPart
	}
	if s.tx != nil {
		if s.tx.firstStatementID == "" {
			s.tx.firstStatementID = st.ID
		}
		r.beginID, r.firstStatementID = s.tx.beginID, s.tx.firstStatementID
	}
	return r, nil
}

// run tries targets until one answers. ok is false if the answer is an error.
func (r *request) run(ctx context.Context) (answer statement.Answer, ok bool) {
	answer = r.finalAnswer(r.tryTargets(ctx))
	return answer, answer.OK()
}

// tryTargets runs the statement at one target after the other until one answers.
func (r *request) tryTargets(ctx context.Context) (answer statement.Answer) {
	for r.tries < maxTries && time.Now().Before(r.deadline) && !r.budgetSpent() {
		covered, known := r.group.CoveringPosition(r.route.MaxAge - maxAgeMargin)
		dest, after := chooseDestination(r.writes, r.route.Freshness, r.session.floor, covered, known)
		if dest == anyReader && r.st.WithoutAfter {
			dest = verifiedLeader
		}
		var retry bool
		if dest == anyReader {
			answer, retry = r.runOnReader(ctx, after)
		} else {
			answer, retry = r.runOnLeader(ctx, dest)
		}
		if !retry {
			return answer
		}
	}
	if answer.Code == statement.OK || answer.Code == statement.Lagging {
		answer = r.session.refusal(statement.Busy, "no target could serve the statement in time")
	}
	return answer
}

// runOnReader runs a read at one of the targets that may have the position, best
// first. The leader has every position, so it ends the list. The second result
// tells whether the read may be retried.
func (r *request) runOnReader(ctx context.Context, after topology.Position) (statement.Answer, bool) {
	readers := withoutLagging(r.group.ReadersFor(after, r.session.customer))
	first, rest := r.splitByCost(readers)
	preferred, heldOff := splitHeldOff(first)
	if answer, ended := r.readOnFree(preferred, after); ended {
		return answer, false
	}
	if len(rest) > 0 && !slices.ContainsFunc(first, r.isPreferred) { // no target of the domain can serve it
		first, rest = slices.Concat(rest, heldOff), nil
		preferred, heldOff = splitHeldOff(first)
		if answer, ended := r.readOnFree(preferred, after); ended {
			return answer, false
		}
	}
	if len(readers) > 0 && r.mayOpen() {
		acquire := func(pool *share.Pool, _ time.Duration) (*share.Conn, error) { return r.acquireSoon(pool) }
		if c, conn := r.acquireReader(preferred, acquire); conn != nil {
			return r.readFrom(c, conn, after)
		}
	}
	if answer, ended := r.readOnFree(heldOff, after); ended {
		return answer, false
	}
	if answer, ok := r.forward(ctx, r.onlyLeaderLeft(readers), len(readers) > 0); ok {
		return answer, false
	}
	if c, conn := r.acquireReader(first, r.acquire); conn != nil {
		return r.readFrom(c, conn, after)
	}
	if len(rest) > 0 {
		return r.runOutOfDomain(first, rest, after)
	}
	return r.runOnLeader(ctx, verifiedLeader)
}

// acquireReader returns the first of the targets to which acquire returns a connection,
// and the connection, or nil if there is none.
func (r *request) acquireReader(readers []group.Choice, acquire func(*share.Pool, time.Duration) (*share.Conn, error)) (*group.Choice, *share.Conn) {
	for _, c := range readers {
		if r.skipped[c.ID] || c.Failing {
			continue
		}
		if conn, err := acquire(c.Pool, c.Latency); err == nil {
			return &c, conn
		}
	}
	return nil, nil
}

// readOnFree runs a read at the first of the targets that has a free connection and
// serves it. ended is false if none did and the read may be tried elsewhere.
func (r *request) readOnFree(targets []group.Choice, after topology.Position) (answer statement.Answer, ended bool) {
	for _, c := range targets {
		if r.skipped[c.ID] {
			continue
		}
		conn := c.Pool.TryAcquireFor(r.session.customer, r.route.Priority)
		if conn == nil {
			continue
		}
		answer, retry := r.readFrom(&c, conn, after)
		if !retry || r.tries >= maxTries || r.budgetSpent() {
			return answer, true
		}
	}
	return statement.Answer{}, false
}

// withoutLagging drops the lagging targets if there is a leader, which has every
// position: their refusals would only cost round trips.
func withoutLagging(readers []group.Choice) []group.Choice {
	if !slices.ContainsFunc(readers, func(c group.Choice) bool { return c.IsLeader }) {
		return readers
	}
	return slices.DeleteFunc(readers, func(c group.Choice) bool { return c.Lagging })
}

// onlyLeaderLeft reports whether the leader is the only remaining target for a
// read: replicas that lag for this host lag for other hosts as well.
func (r *request) onlyLeaderLeft(readers []group.Choice) bool {
	replicaLeft := slices.ContainsFunc(readers, func(c group.Choice) bool { return !c.IsLeader && !r.skipped[c.ID] })
	return len(readers) > 0 && !replicaLeft
}

// readFrom runs a read at a target that must have the position.
func (r *request) readFrom(c *group.Choice, conn *share.Conn, after topology.Position) (statement.Answer, bool) {
	st := *r.st
	st.After = after
	id, answerDeadline := c.ID, r.deadline
	if readDeadline := time.Now().Add(readTimeout(c.Latency)); readDeadline.Before(answerDeadline) {
		answerDeadline = readDeadline
	}
	answer, retry := r.exchange(id, c.Pool, conn, []statement.Statement{st}, 0, answerDeadline)
	if r.outOfBudget {
		return answer, false
	}
	r.recordRead(c, &answer, retry)
	if answer.Code == statement.TimedOut && answerDeadline.Before(r.deadline) {
		r.skipTarget(id)
		return r.session.refusal(statement.Busy, "the target did not answer in time"), true
	}
	switch answer.Code {
	case statement.Lagging:
		r.group.NoteLagging(id, &answer)
		r.skipTarget(id)
	case statement.Busy: // from the target itself: its queue is full
		if !retry {
			r.skipTarget(id)
			return answer, true
		}
	case statement.RunFailed:
		if r.retriesFailedRead(id, after) {
			r.failedAnswer = &answer
			r.skipTarget(id)
			return answer, true
		}
	}
	return answer, retry
}

func (r *request) skipTarget(id topology.TargetID) {
	if r.skipped == nil {
		r.skipped = map[topology.TargetID]bool{}
	}
	r.skipped[id] = true
}

// runOnLeader runs the statement at the leader.
func (r *request) runOnLeader(ctx context.Context, dest destination) (statement.Answer, bool) {
	id, pool, conn, refusal := r.leaderConn(ctx)
	if conn == nil {
		return refusal, false
	}
	if !r.commitsReady() { // any more, after the wait for the connection
		pool.Release(conn, true)
		r.unconfirmable = true
		return r.refuseUnconfirmable(), true
	}
	sent := steady.Now()
	if dest == verifiedLeader {
		batch := []statement.Statement{proxyStatement(statement.Begin, ""), *r.st, proxyStatement(statement.Rollback, "")}
		return r.exchange(id, pool, conn, batch, 1, r.deadline)
	}
	answer, retry := r.exchange(id, pool, conn, []statement.Statement{*r.st}, 0, r.deadline)
	switch {
	case answer.OK() && !r.group.CoversAnswer(id):
		r.addStep(id, "lease ended before the answer arrived")
		return r.session.refusal(statement.InDoubt, leaseEndedDetail), false
	case answer.OK():
		r.group.NoteLeading(id, sent, &answer)
		if answer = r.confirm(ctx, id, &answer); answer.OK() {
			r.session.raiseFloor(&answer)
		}
	case answer.Code == statement.ReadOnly:
		r.group.NoteNotLeading(id, sent)
	}
	return answer, retry
}

// leaseEndedDetail explains the refusal of an answer that arrived after this host's
// lease on the leader had ended: another target may have become the leader.
const leaseEndedDetail = "the lease on the leader ended before the answer arrived"

// leaderConn returns a connection to the leader. It takes a free local connection,
// else forwards the statement to another host, else waits for a local connection if
// that can help. A write takes a local connection only while commits can be confirmed.
// The connection is nil if another host ran the statement or no host could; the returned
// answer is then the answer to the caller.
func (r *request) leaderConn(ctx context.Context) (topology.TargetID, *share.Pool, *share.Conn, statement.Answer) {
	id, pool, known := r.confirmableLeader(ctx)
	usable := known && !r.unconfirmable
	if usable {
		if conn := pool.TryAcquireFor(r.session.customer, r.route.Priority); conn != nil {
			return id, pool, conn, statement.Answer{}
		}
		r.leaderConnsBusy = pool.Load().Open > 0
	}
	if usable && r.mayOpen() {
		if conn, err := r.acquireSoon(pool); err == nil {
			return id, pool, conn, statement.Answer{}
		}
	}
	if answer, ok := r.forward(ctx, r.needsLeader(), r.needsFreePeer()); ok {
		return "", nil, nil, answer
	}
	if !usable {
		var refusal *statement.Answer
		if id, pool, refusal = r.waitConfirmableLeader(ctx, id, pool, known); refusal != nil {
			return "", nil, nil, *refusal
		}
	}
	conn, err := r.acquire(pool, r.group.Latency(id))
	if err != nil {
		r.addStep(id, err.Error())
		return "", nil, nil, r.session.refusal(statement.Busy, err.Error())
	}
	return id, pool, conn, statement.Answer{}
}

// needsFreePeer reports whether this host is a place for the request, so that another host
// helps only if it can serve the request at once.
func (r *request) needsFreePeer() bool { return r.leaderConnsBusy || r.unconfirmable }

// waitLeader waits for a leader until the deadline, if the request may be queued.
func (r *request) waitLeader(ctx context.Context, deadline time.Time) (topology.TargetID, *share.Pool, bool) {
	if r.noWait {
		return "", nil, false
	}
	r.addStep("", "waiting for a leader")
	return r.group.WaitLeader(ctx, deadline)
}

// acquire returns a connection of the pool, waiting for one if the request may be
// queued. meanLatency is how long the target usually takes to answer.
func (r *request) acquire(pool *share.Pool, meanLatency time.Duration) (*share.Conn, error) {
	if !r.noWait {
		return pool.Acquire(r.session.customer, r.deadline, maxQueueWait(&r.route, meanLatency), r.route.Priority)
	}
	if conn := pool.TryAcquireFor(r.session.customer, r.route.Priority); conn != nil {
		return conn, nil
	}
	if r.mayOpen() {
		return r.acquireSoon(pool)
	}
	return nil, errNoFreeConn
}

// acquireSoon returns a connection of the pool if one is free, or can be opened, within
// maxAtOnceWait. Unlike in acquire, the wait doesn't depend on the target's latency.
func (r *request) acquireSoon(pool *share.Pool) (*share.Conn, error) {
	return pool.Acquire(r.session.customer, r.deadline, maxAtOnceWait, r.route.Priority)
}

// maxAtOnceWait is how long a request that is to be served at once or refused waits for
// a connection of its customer to be opened: the target's work for it, 12 ms, and as
// much again for round trips and another dial.
const maxAtOnceWait = 30 * time.Millisecond

// errNoFreeConn refuses a request that may not be queued.
var errNoFreeConn = errors.New("no connection to the target is free")

// noLeaderDetail returns why a host without a leader of its own refuses.
func (r *request) noLeaderDetail() string {
	if r.peerRefusal != "" {
		return "refused by another host: " + r.peerRefusal
	}
	if r.group.LeaderLoss().Leaving {
		return share.ErrEnded.Error()
	}
	return "the group has no known leader"
}

// needsLeader reports whether only the leader may run the statement.
func (r *request) needsLeader() bool {
	return r.writes || r.route.Freshness == catalog.LatestData
}

// raiseFloor records the position of an acknowledged commit of the session.
func (s *session) raiseFloor(a *statement.Answer) {
	if a.HasPosition {
		s.floor = topology.Later(s.floor, a.Position)
	}
}
