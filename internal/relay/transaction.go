package relay

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// transaction is what a caller began. It has a connection from its first
// statement to its end.
type transaction struct {
	begunBy  string // id of the statement that opened it
	firstID  string // id of its first statement after that, "": none yet
	readOnly bool   // the caller declared it so
	failed   bool
	reason   string // of a failure that the caller hasn't heard of
	wrote    bool
	route    *catalog.Route // by which it runs; nil before its first statement

	group  *group.Group
	target topology.TargetID
	pool   *share.Pool
	conn   *share.Conn // nil: opened but not running, or kept elsewhere

	elsewhere topology.HostID // the host that keeps it, "": this one
	key       string          // by which that host knows it
}

func (t *transaction) running() bool { return t.conn != nil || t.elsewhere != "" }

// release gives the connection back.
func (t *transaction) release(usable bool) {
	if t.conn != nil {
		t.pool.Release(t.conn, usable)
		t.conn = nil
	}
}

// rollbackTimeout bounds a rollback, a round trip without a work slot. Without
// an answer the connection is closed, which rolls back as well.
const rollbackTimeout = 200 * time.Millisecond

// abandon rolls back at the target.
func (t *transaction) abandon() {
	if t.conn == nil {
		return
	}
	answers, err := t.conn.Exchange(time.Now().Add(rollbackTimeout), own(statement.Rollback, ""))
	t.release(err == nil && answers[0].State == statement.Idle)
}

func (s *session) begin(st *statement.Statement) statement.Answer {
	if s.tx != nil {
		return s.refusal(statement.Malformed, "a transaction is open")
	}
	s.tx = &transaction{begunBy: st.ID, readOnly: st.Kind == statement.BeginRead}
	return s.done()
}

func (s *session) rollback() statement.Answer {
	if s.tx == nil {
		return s.refusal(statement.Malformed, "no transaction is open")
	}
	s.endTransaction()
	return s.done()
}

// endTransaction rolls back what is open.
func (s *session) endTransaction() {
	if s.tx != nil {
		s.abandonElsewhere()
		s.tx.abandon()
		s.tx = nil
	}
}

// failTransaction rolls back; the caller hears of it at its next statement.
func (s *session) failTransaction(reason string) {
	s.abandonElsewhere()
	s.tx.abandon()
	s.tx.failed, s.tx.reason = true, reason
	s.log.Info("transaction ended", "session", s.state.id, "database", s.database, "reason", reason,
		"begun_by", s.tx.begunBy, "first_statement", s.tx.firstID, "last_request", s.lastID)
}

// fail makes an answer the end of the transaction that the caller hears now.
func (s *session) fail(a statement.Answer, usable bool) statement.Answer {
	if usable {
		s.tx.abandon()
	} else {
		s.tx.release(false)
	}
	s.tx.failed = true
	a.State = statement.Failed
	return a
}

// inTransaction runs a statement of a transaction.
func (s *session) inTransaction(ctx context.Context, st *statement.Statement, writes bool, uses string) statement.Answer {
	r, refused := s.newRequest(st, writes, uses)
	if refused != nil {
		return s.fail(*refused, true)
	}
	if !s.tx.running() {
		if a, over := r.start(ctx); over {
			return a
		}
	}
	if s.tx.elsewhere != "" {
		a := s.runElsewhere(ctx, r)
		s.server.count(r, &a)
		r.logOutcome("statement of a transaction", &a, a.OK())
		return a
	}
	a := s.runPinned(r)
	s.server.count(r, &a)
	if !a.OK() {
		r.logOutcome("statement of a transaction", &a, false)
	}
	return a
}

// start begins the transaction on a free connection here, else at another host
// that has one, else on one here that becomes free in time. over: the answer is
// the caller's, as another host ran the statement or none began.
func (r *request) start(ctx context.Context) (answer statement.Answer, over bool) {
	mayWait := !r.atOnce
	r.atOnce = true
	refusal, ok := r.beginAt(ctx)
	if ok {
		return answer, false
	}
	if a, ok := r.beginElsewhere(ctx, r.hadConnections); ok {
		return r.session.begunElsewhere(r, a), true
	}
	if mayWait {
		r.atOnce = false
		if refusal, ok = r.beginAt(ctx); ok {
			return answer, false
		}
	}
	if mayWait { // that none was free at once is told by the asking host
		r.logOutcome("start of a transaction", &refusal, false)
	}
	return r.session.fail(refusal, true), true
}

// runPinned runs a statement on the transaction's connection.
func (s *session) runPinned(r *request) statement.Answer {
	t := s.tx
	prefix := s.state.replay(t.conn, r.uses)
	started := steady.Now()
	answers, err := t.conn.Exchange(r.deadline, append(prefix, *r.st)...)
	targetTimes[!t.readOnly].Update(steady.Now().Sub(started).Seconds())
	if err != nil {
		r.note(t.target, "broke: "+err.Error())
		t.group.NoteFailing(t.target)
		return s.fail(s.refusal(statement.Aborted, err.Error()), false)
	}
	for i := range prefix {
		if !answers[i].OK() {
			return s.fail(s.refusal(statement.Aborted, "the target refused the session's state"), false)
		}
	}
	a := answers[len(prefix)]
	r.note(t.target, a.Code.String())
	if a.OK() {
		t.wrote = t.wrote || r.writes
		t.group.NoteServed(t.target, steady.Now().Sub(started), &a)
	}
	if a.State != statement.InTransaction {
		if a.Code == statement.ReadOnly {
			t.group.NoteNotLeading(t.target, started)
		}
		return s.fail(a, a.State == statement.Failed)
	}
	return a
}

// beginAt begins the transaction at a target that may serve it.
func (r *request) beginAt(ctx context.Context) (refusal statement.Answer, ok bool) {
	readOnly := r.session.tx.readOnly && r.route.Freshness != catalog.LatestData
	refusal = r.session.refusal(statement.Busy, "no target could begin it in time")
	for r.tries < mostTries && time.Now().Before(r.deadline) {
		if readOnly {
			covered, known := r.group.Cover(r.route.MaxAge - ageMargin)
			if at, after := place(false, r.route.Freshness, r.session.floor, covered, known); at == anywhere {
				if r.beginReading(after) {
					return statement.Answer{}, true
				}
			}
		}
		id, pool, conn, refused := r.leaderConn(ctx)
		if conn == nil {
			return refused, false
		}
		if r.beginOn(id, pool, conn, own(statement.Begin, "")) {
			return statement.Answer{}, true
		}
		refusal = r.session.refusal(statement.Busy, "no target began the transaction")
	}
	return refusal, false
}

// beginReading begins at the first idle target that has the position.
func (r *request) beginReading(after topology.Position) bool {
	for _, c := range withoutLagging(r.group.Readers(after)) {
		if r.skip[c.ID] || c.Failing {
			continue
		}
		conn := c.Pool.TryAcquire()
		if conn == nil {
			continue
		}
		begin := own(statement.BeginRead, "")
		begin.After = after
		if r.beginOn(c.ID, c.Pool, conn, begin) {
			return true
		}
	}
	return false
}

// beginOn begins the transaction on the connection.
func (r *request) beginOn(id topology.TargetID, pool *share.Pool, conn *share.Conn, begin statement.Statement) bool {
	r.tries++
	if !usable(conn) {
		pool.Release(conn, false)
		return false
	}
	prefix := r.session.state.replay(conn, "")
	sent := steady.Now()
	answers, err := conn.Exchange(r.deadline, append(prefix, begin)...)
	if err != nil {
		pool.Release(conn, false)
		r.group.NoteFailing(id)
		return false
	}
	a := answers[len(prefix)]
	if begin.Kind == statement.Begin {
		r.group.Judge(id, sent, &a)
	}
	if !a.OK() || a.State != statement.InTransaction {
		r.note(id, a.Code.String())
		pool.Release(conn, a.State == statement.Idle)
		if a.Code == statement.Lagging {
			r.group.NoteLagging(id, &a)
			r.skipTarget(id)
		}
		return false
	}
	t := r.session.tx
	t.group, t.target, t.pool, t.conn = r.group, id, pool, conn
	return true
}

// commit ends a transaction. One without statements runs at a target too, since
// the caller wants a target's signature.
func (s *session) commit(ctx context.Context, st *statement.Statement) statement.Answer {
	if s.tx == nil {
		return s.refusal(statement.Malformed, "no transaction is open")
	}
	if s.tx.failed {
		s.endTransaction()
		return s.refusal(statement.Aborted, "the transaction had failed")
	}
	r, refused := s.newRequest(st, s.tx.wrote, "")
	if refused == nil && s.tx.elsewhere != "" {
		a := s.commitElsewhere(ctx, r)
		s.server.count(r, &a)
		r.logOutcome("commit", &a, a.OK())
		return a
	}
	if refused == nil && !s.tx.running() {
		if refusal, ok := r.beginAt(ctx); !ok {
			refused = &refusal
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
	a := s.commitPinned(r)
	s.server.count(r, &a)
	if !a.OK() {
		r.logOutcome("commit", &a, false)
	}
	return a
}

// commitPinned sends the commit, once.
func (s *session) commitPinned(r *request) statement.Answer {
	t := s.tx
	s.tx = nil
	sent := steady.Now()
	answers, err := t.conn.Exchange(r.deadline, *r.st)
	targetTimes[!t.readOnly].Update(steady.Now().Sub(sent).Seconds())
	if err != nil {
		t.release(false)
		a, _ := r.broke(t.target, err)
		if !t.wrote { // nothing of it could be kept
			a.Code = statement.Aborted
		}
		return a
	}
	a := answers[0]
	t.release(a.State == statement.Idle)
	a.State = statement.Idle
	if a.OK() && t.wrote {
		t.group.NoteLeading(t.target, sent, &a)
		s.raiseFloor(&a)
	}
	return a
}
