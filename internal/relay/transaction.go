package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/quota"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// transaction is a transaction that a caller opened. It holds a target connection
// from its first statement to its end.
type transaction struct {
	beginID          string // ID of the statement that opened it
	firstStatementID string // ID of its first statement after that; "": none yet
	readOnly         bool   // declared so by the caller
	failed           bool
	unreportedReason string         // of a failure that the caller hasn't been told of
	unreportedCode   statement.Code // of the answer that tells the caller
	wrote            bool
	route            *catalog.Route // route that it keeps; nil before its first statement

	group  *group.Group
	target topology.TargetID
	// atLeader is set if the transaction relies on target being the leader.
	atLeader bool
	pool     *share.Pool
	conn     *share.Conn // nil: not running, or run by another host

	peerHost topology.HostID // host that runs it; "": this one
	peerKey  string          // identifies it on that host

	admitted  bool             // it counts as an operation of its customer
	admission *quota.Admission // nil: its customer has no limit
}

func (t *transaction) running() bool { return t.conn != nil || t.peerHost != "" }

// release returns the connection to the pool.
func (t *transaction) release(usable bool) {
	if t.conn != nil {
		t.pool.Release(t.conn, usable)
		t.conn = nil
	}
}

// rollbackTimeout bounds a rollback, a round trip without a work slot. If no answer
// arrives, the connection is closed, which rolls back as well.
const rollbackTimeout = 200 * time.Millisecond

// rollback rolls back at the target and releases the connection.
func (t *transaction) rollback() {
	if t.conn == nil {
		return
	}
	t.release(rollbackOn(t.conn))
}

// rollbackOrClose ends the transaction: by a rollback on a usable connection, and by closing
// an unusable one.
func (t *transaction) rollbackOrClose(usable bool) {
	if usable {
		t.rollback()
		return
	}
	t.release(false)
}

// rollbackOn rolls back the connection's transaction. It returns whether the connection may
// be used again.
func rollbackOn(conn *share.Conn) bool {
	answers, err := conn.Exchange(time.Now().Add(rollbackTimeout), proxyStatement(statement.Rollback, ""))
	return err == nil && endsIdle(answers)
}

func (s *session) serveBegin(st *statement.Statement) statement.Answer {
	if s.tx != nil {
		return s.refusal(statement.Malformed, "a transaction is already open")
	}
	s.tx = &transaction{beginID: st.ID, readOnly: st.Kind == statement.BeginReadOnly}
	return s.success()
}

func (s *session) serveRollback() statement.Answer {
	if s.tx == nil {
		return s.refusal(statement.Malformed, "no transaction is open")
	}
	s.endTransaction()
	return s.success()
}

// endTransaction rolls back the open transaction, if any, and removes it.
func (s *session) endTransaction() {
	if s.tx != nil {
		s.rollbackOnPeer()
		s.tx.rollback()
		s.tx = nil
	}
}

// abortTransaction rolls back the transaction. The caller learns of it from the
// answer to its next statement.
func (s *session) abortTransaction(reason string) {
	s.rollbackOnPeer()
	s.tx.rollback()
	s.tx.failed, s.tx.unreportedReason, s.tx.unreportedCode = true, reason, statement.Aborted
	s.log.Info("transaction aborted", "session", s.state.id, "database", s.database, "reason", reason,
		"begun_by", s.tx.beginID, "first_statement", s.tx.firstStatementID, "last_request", s.lastStatementID)
}

// failWith ends the transaction and returns the answer that tells the caller so. It
// rolls back on a usable connection and discards an unusable one.
func (s *session) failWith(a statement.Answer, usable bool) statement.Answer {
	s.tx.rollbackOrClose(usable)
	s.tx.failed = true
	a.State = statement.Failed
	return a
}

// serveInTransaction runs a statement of a transaction.
func (s *session) serveInTransaction(ctx context.Context, st *statement.Statement, writes bool, preparedName string) statement.Answer {
	r, refused := s.newRequest(st, writes, preparedName)
	if refused != nil {
		return s.failWith(*refused, true)
	}
	if !s.tx.running() {
		if refusal := r.admitTransaction(); refusal != nil {
			return s.failWith(*refusal, true)
		}
		if a, answered := r.startTransaction(ctx); answered {
			if !a.OK() {
				r.creditIfNotRun(s.tx.admission)
			}
			return a
		}
	}
	if s.tx.peerHost != "" {
		a := s.runOnPeer(ctx, r)
		r.addRetryTime(&a)
		s.server.countStatement(r, &a)
		r.logOutcome("transaction statement", &a, a.OK())
		return a
	}
	a := s.runOnConn(r)
	r.addRetryTime(&a)
	s.server.countStatement(r, &a)
	if !a.OK() {
		r.logOutcome("transaction statement", &a, false)
	}
	return a
}

// startTransaction begins the transaction on a free local connection, else on
// another host that has one, else on a local connection that becomes free in time.
// answered is true if the answer must be returned to the caller: another host ran the
// statement, or the transaction could not begin.
func (r *request) startTransaction(ctx context.Context) (answer statement.Answer, answered bool) {
	mayWait := !r.noWait
	r.noWait = true
	refusal, ok := r.beginHere(ctx)
	if ok {
		return answer, false
	}
	if a, ok := r.beginOnPeer(ctx, r.needsFreePeer()); ok {
		return r.session.finishBeginOnPeer(r, a), true
	}
	if mayWait {
		r.noWait = false
		if refusal, ok = r.beginHere(ctx); ok {
			return answer, false
		}
	}
	r.addRetryTime(&refusal)
	if mayWait { // the forwarding host logs the refusal of a no-wait statement
		r.logOutcome("transaction start", &refusal, false)
	}
	return r.session.failWith(refusal, true), true
}

// leaseLostDetail explains the end of a transaction at a target that this host may no
// longer use as the leader.
const leaseLostDetail = "this host has no lease on the leader any more"

// runOnConn runs a statement on the transaction's connection.
func (s *session) runOnConn(r *request) statement.Answer {
	t := s.tx
	if _, err := r.applyState(t.target, t.conn, r.deadline); err != nil {
		return s.failWith(s.refusal(statement.Aborted, err.Error()), errors.Is(err, errStateRefused))
	}
	if t.atLeader && !t.group.MayLead(t.target) {
		return s.failWith(s.refusal(statement.Aborted, leaseLostDetail), true)
	}
	r.earnInTransaction()
	sent := steady.Now()
	answers, err := t.conn.Exchange(r.deadline, *r.st)
	r.recordExchange(t.target, t.atLeader, t.conn)
	targetLatency[!t.readOnly].Update(steady.Now().Sub(sent).Seconds())
	if err != nil {
		r.addStep(t.target, "connection broke: "+err.Error())
		t.group.NoteFailing(t.target)
		t.group.NoteFailedAnswer(t.target)
		return s.failWith(s.refusal(statement.Aborted, err.Error()), false)
	}
	a := answers[0]
	r.addStep(t.target, a.Code.String())
	if t.atLeader && !t.group.CoversAnswer(t.target) {
		return s.failWith(s.refusal(statement.Aborted, leaseEndedDetail), a.State == statement.InTransaction)
	}
	if a.OK() {
		t.wrote = t.wrote || r.writes
		t.group.NoteServed(t.target, steady.Now().Sub(sent), &a)
		s.server.retrySchedules.noteServed(r.route.Group, t.atLeader)
	}
	if a.Code == statement.RunFailed {
		t.group.NoteFailedAnswer(t.target)
	}
	if a.State != statement.InTransaction {
		if a.Code == statement.ReadOnly {
			t.group.NoteNotLeading(t.target, sent)
		}
		return s.failWith(a, a.State == statement.Failed)
	}
	return a
}

// beginHere begins the transaction on a connection of this host.
func (r *request) beginHere(ctx context.Context) (refusal statement.Answer, ok bool) {
	readOnly := r.session.tx.readOnly && r.route.Freshness != catalog.LatestData
	refusal = r.session.refusal(statement.Busy, "no target could begin the transaction in time")
	for r.tries < maxTries && time.Now().Before(r.deadline) && !r.budgetSpent() {
		if readOnly {
			covered, known := r.group.CoveringPosition(r.route.MaxAge - maxAgeMargin)
			if dest, after := chooseDestination(false, r.route.Freshness, r.session.floor, covered, known); dest == anyReader {
				if r.beginOnReader(after) {
					return statement.Answer{}, true
				}
				if r.outOfBudget {
					break
				}
			}
		}
		id, pool, conn, refused := r.leaderConn(ctx)
		if conn == nil {
			return refused, false
		}
		if r.beginOnConn(id, pool, conn, proxyStatement(statement.Begin, "")) {
			return statement.Answer{}, true
		}
		refusal = r.session.refusal(statement.Busy, "no target began the transaction")
	}
	return refusal, false
}

// beginOnReader begins the transaction at the first target that has the position
// and a free connection.
func (r *request) beginOnReader(after topology.Position) bool {
	begin := proxyStatement(statement.BeginReadOnly, "")
	begin.After = after
	first, rest := r.splitByCost(withoutLagging(r.group.ReadersFor(after, r.session.customer)))
	readers := slices.Concat(first, rest)
	for _, c := range readers {
		if r.skipped[c.ID] || c.Failing {
			continue
		}
		conn := c.Pool.TryAcquireFor(r.session.customer, r.route.Priority)
		if conn != nil && r.beginOnConn(c.ID, c.Pool, conn, begin) {
			return true
		}
	}
	if r.session.customer == "" || r.noWait && !r.mayOpen() {
		return false
	}
	for _, c := range readers {
		if r.skipped[c.ID] || c.Failing {
			continue
		}
		conn, err := r.acquire(c.Pool, c.Latency)
		if err == nil {
			return r.beginOnConn(c.ID, c.Pool, conn, begin)
		}
	}
	return false
}

// beginOnConn begins the transaction on the given connection.
func (r *request) beginOnConn(id topology.TargetID, pool *share.Pool, conn *share.Conn, begin statement.Statement) bool {
	if !r.chargeSending() {
		pool.Release(conn, true)
		return false
	}
	r.tries++
	if !isUsable(conn) {
		pool.Release(conn, false)
		r.group.NoteClosed(id)
		return false
	}
	sent := steady.Now()
	answers, err := r.applyState(id, conn, r.deadline, begin)
	r.recordExchange(id, begin.Kind == statement.Begin, conn)
	if err != nil && !errors.Is(err, errStateRefused) {
		pool.Release(conn, false)
		return false
	}
	a := answers[len(answers)-1]
	if begin.Kind == statement.Begin {
		r.group.NoteBeginAnswer(id, sent, &a)
	}
	if err != nil {
		pool.Release(conn, endsIdle(answers) || rollbackOn(conn))
		return false
	}
	if !a.OK() || a.State != statement.InTransaction {
		r.addStep(id, a.Code.String())
		pool.Release(conn, a.State == statement.Idle)
		if a.Code == statement.Lagging {
			r.group.NoteLagging(id, &a)
			r.skipTarget(id)
		}
		return false
	}
	t := r.session.tx
	t.group, t.target, t.pool, t.conn, t.atLeader = r.group, id, pool, conn, begin.Kind == statement.Begin
	if t.atLeader && !r.group.CoversAnswer(id) {
		r.addStep(id, "lease ended before the transaction began")
		t.rollback()
		return false
	}
	if pool.Ended() {
		r.addStep(id, share.ErrEnded.Error())
		t.rollback()
		return false
	}
	return true
}

// serveCommit ends the transaction. A transaction without statements runs at a
// target as well, because the caller expects a target's signature.
func (s *session) serveCommit(ctx context.Context, st *statement.Statement) statement.Answer {
	if s.tx == nil {
		return s.refusal(statement.Malformed, "no transaction is open")
	}
	if s.tx.failed {
		s.endTransaction()
		return s.refusal(statement.Aborted, "the transaction has failed")
	}
	r, refused := s.newRequest(st, s.tx.wrote, "")
	if refused == nil && s.tx.peerHost != "" {
		a := s.commitOnPeer(ctx, r)
		s.server.countStatement(r, &a)
		r.logOutcome("commit", &a, a.OK())
		return a
	}
	if refused == nil && !s.tx.running() {
		refused = r.admitTransaction()
		if refused == nil {
			if refusal, ok := r.beginHere(ctx); !ok {
				refused = &refusal
				r.creditIfNotRun(s.tx.admission)
				r.addRetryTime(refused)
			}
		}
	}
	if refused != nil {
		if r != nil {
			r.logOutcome("commit", refused, false)
		}
		s.endTransaction()
		refused.State = statement.Idle
		return *refused
	}
	a := s.commitOnConn(ctx, r)
	s.server.countStatement(r, &a)
	if !a.OK() {
		r.logOutcome("commit", &a, false)
	}
	return a
}

// commitOnConn sends the commit, exactly once, after session values that were set since the
// transaction's last statement. A transaction that wrote is rolled back instead while commits
// can't be confirmed.
func (s *session) commitOnConn(ctx context.Context, r *request) statement.Answer {
	t := s.tx
	s.tx = nil
	if _, err := r.applyState(t.target, t.conn, r.deadline); err != nil {
		t.rollbackOrClose(errors.Is(err, errStateRefused))
		return s.refusal(statement.Aborted, err.Error())
	}
	if !r.awaitCommits(ctx, time.Now().Add(electorateChangeTime)) {
		t.rollback()
		return s.refusal(statement.Aborted, unconfirmableDetail)
	}
	if t.atLeader && !t.group.MayLead(t.target) {
		t.rollback()
		return s.refusal(statement.Aborted, leaseLostDetail)
	}
	sent := steady.Now()
	answers, err := t.conn.Exchange(r.deadline, *r.st)
	r.recordExchange(t.target, t.atLeader, t.conn)
	targetLatency[!t.readOnly].Update(steady.Now().Sub(sent).Seconds())
	if err != nil {
		t.release(false)
		a, _ := r.answerBroken(t.target, err)
		if !t.wrote { // nothing was written, so nothing can be kept
			a.Code = statement.Aborted
		}
		return a
	}
	a := answers[0]
	t.release(a.State == statement.Idle)
	a.State = statement.Idle
	if a.OK() && t.atLeader && !t.group.CoversAnswer(t.target) {
		r.addStep(t.target, "lease ended before the answer arrived")
		if t.wrote {
			return s.refusal(statement.InDoubt, leaseEndedDetail)
		}
		return s.refusal(statement.Aborted, leaseEndedDetail)
	}
	if a.OK() && t.wrote {
		t.group.NoteLeading(t.target, sent, &a)
		if a = r.confirm(ctx, t.target, &a); a.OK() {
			s.raiseFloor(&a)
		}
	}
	return a
}
