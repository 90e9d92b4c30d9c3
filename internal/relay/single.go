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

// request is one statement outside a transaction, or the first of one, on its
// way to a target.
type request struct {
	session  *session
	st       *statement.Statement
	route    catalog.Route
	group    *group.Group
	writes   bool
	uses     string // prepared name
	begunBy  string // id of the statement that opened its transaction, "": none
	firstID  string // id of the transaction's first statement after that
	arrived  time.Time
	deadline time.Time
	tries    int
	skip     map[topology.TargetID]bool // lacked the position
	trail    []string                   // what was tried and decided, for the log
	asked    []topology.HostID          // other hosts that it was sent to
	// refusedThere is why the last of them refused it.
	refusedThere string
	fromPeer     bool // it came from another host and isn't sent on
	atOnce       bool // it is refused rather than made to wait
	// lostAnswer: a call to another host ended without its answer.
	lostAnswer bool
	// hadConnections: this host has connections to the leader, all of them taken.
	hadConnections bool
}

// single runs one statement outside a transaction.
func (s *session) single(ctx context.Context, st *statement.Statement, writes bool, uses string) statement.Answer {
	r, refused := s.newRequest(st, writes, uses)
	if refused != nil {
		return *refused
	}
	answer, ok := r.run(ctx)
	s.server.count(r, &answer)
	r.logOutcome("statement", &answer, ok)
	return answer
}

// newRequest looks up the route, which may have changed since the session began.
// A transaction keeps the route of its first statement.
func (s *session) newRequest(st *statement.Statement, writes bool, uses string) (*request, *statement.Answer) {
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
	r := &request{session: s, st: st, route: route, group: g, writes: writes, uses: uses, arrived: now, atOnce: s.atOnce}
	r.deadline = now.Add(route.StatementTimeout)
	if s.tx != nil {
		if s.tx.firstID == "" {
			s.tx.firstID = st.ID
		}
		r.begunBy, r.firstID = s.tx.begunBy, s.tx.firstID
	}
	return r, nil
}

// run tries places until one answers. ok is false if the answer is an error.
func (r *request) run(ctx context.Context) (answer statement.Answer, ok bool) {
	for r.tries < mostTries && time.Now().Before(r.deadline) {
		covered, known := r.group.Cover(r.route.MaxAge - ageMargin)
		at, after := place(r.writes, r.route.Freshness, r.session.floor, covered, known)
		var again bool
		if at == anywhere {
			answer, again = r.tryReaders(ctx, after)
		} else {
			answer, again = r.tryLeader(ctx, at)
		}
		if !again {
			return answer, answer.OK()
		}
	}
	if answer.Code == statement.OK || answer.Code == statement.Lagging {
		answer = r.session.refusal(statement.Busy, "no target could serve it in time")
	}
	return answer, false
}

// tryReaders reads at the targets that may have the position, best first. The
// leader has it, so that it ends the list.
func (r *request) tryReaders(ctx context.Context, after topology.Position) (statement.Answer, bool) {
	readers := withoutLagging(r.group.Readers(after))
	for _, c := range readers {
		if r.skip[c.ID] {
			continue
		}
		conn := c.Pool.TryAcquire()
		if conn == nil {
			continue
		}
		answer, again := r.readAt(&c, conn, after)
		if !again {
			return answer, false
		}
		if r.tries >= mostTries {
			return answer, false
		}
	}
	if answer, ok := r.forward(ctx, r.leaderAlone(readers), len(readers) > 0); ok {
		return answer, false
	}
	for _, c := range readers {
		if r.skip[c.ID] || c.Failing {
			continue
		}
		conn, err := r.acquire(c.Pool, c.Took)
		if err != nil {
			continue
		}
		return r.readAt(&c, conn, after)
	}
	return r.tryLeader(ctx, guarded)
}

// withoutLagging leaves out the targets that lag, if there is a leader, which has
// every position: a refusal would cost a round trip and help nobody.
func withoutLagging(readers []group.Choice) []group.Choice {
	if !slices.ContainsFunc(readers, func(c group.Choice) bool { return c.Leads }) {
		return readers
	}
	return slices.DeleteFunc(readers, func(c group.Choice) bool { return c.Lagging })
}

// leaderAlone tells whether of the targets that may serve a read only the leader
// is left: other hosts would find the others behind as well.
func (r *request) leaderAlone(readers []group.Choice) bool {
	replicas := slices.ContainsFunc(readers, func(c group.Choice) bool { return !c.Leads && !r.skip[c.ID] })
	return len(readers) > 0 && !replicas
}

// readAt runs a read at a target that must have the position.
func (r *request) readAt(c *group.Choice, conn *share.Conn, after topology.Position) (statement.Answer, bool) {
	st := *r.st
	st.After = after
	id, until := c.ID, r.deadline
	if try := time.Now().Add(tryWithin(c.Took)); try.Before(until) {
		until = try
	}
	answer, again := r.exchange(id, c.Pool, conn, []statement.Statement{st}, 0, until)
	if answer.Code == statement.TimedOut && until.Before(r.deadline) {
		r.skipTarget(id)
		return r.session.refusal(statement.Busy, "the target is silent"), true
	}
	switch answer.Code {
	case statement.Lagging:
		r.group.NoteLagging(id, &answer)
		r.skipTarget(id)
	case statement.Busy: // the target's own word: its queue is full
		if !again {
			r.skipTarget(id)
			return answer, true
		}
	}
	return answer, again
}

func (r *request) skipTarget(id topology.TargetID) {
	if r.skip == nil {
		r.skip = map[topology.TargetID]bool{}
	}
	r.skip[id] = true
}

// tryLeader runs the statement at the leader.
func (r *request) tryLeader(ctx context.Context, at where) (statement.Answer, bool) {
	id, pool, conn, refusal := r.leaderConn(ctx)
	if conn == nil {
		return refusal, false
	}
	sent := steady.Now()
	if at == guarded {
		batch := []statement.Statement{own(statement.Begin, ""), *r.st, own(statement.Rollback, "")}
		return r.exchange(id, pool, conn, batch, 1, r.deadline)
	}
	answer, again := r.exchange(id, pool, conn, []statement.Statement{*r.st}, 0, r.deadline)
	switch {
	case answer.OK():
		r.group.NoteLeading(id, sent, &answer)
		r.session.raiseFloor(&answer)
	case answer.Code == statement.ReadOnly:
		r.group.NoteNotLeading(id, sent)
	}
	return answer, again
}

// leaderConn returns a connection to the leader: a free one here, else another
// host runs the statement if it has one, else it waits if that can help. conn is
// nil where another host ran it, or none may; the answer is then the caller's.
func (r *request) leaderConn(ctx context.Context) (topology.TargetID, *share.Pool, *share.Conn, statement.Answer) {
	id, pool, known := r.group.Leader()
	if known {
		if conn := pool.TryAcquire(); conn != nil {
			return id, pool, conn, statement.Answer{}
		}
		r.hadConnections = pool.Load().Open > 0
	}
	if answer, ok := r.forward(ctx, r.needsLeader(), r.hadConnections); ok {
		return "", nil, nil, answer
	}
	if !known {
		if id, pool, known = r.waitLeader(ctx); !known {
			return "", nil, nil, r.session.refusal(statement.Busy, r.whyNoLeader())
		}
	}
	conn, err := r.acquire(pool, r.group.Took(id))
	if err != nil {
		r.note(id, err.Error())
		return "", nil, nil, r.session.refusal(statement.Busy, err.Error())
	}
	return id, pool, conn, statement.Answer{}
}

// waitLeader waits for a leader for as long as the request can still be served.
func (r *request) waitLeader(ctx context.Context) (topology.TargetID, *share.Pool, bool) {
	if r.atOnce {
		return "", nil, false
	}
	until := time.Now().Add(leaderPatience(&r.route, r.group.Loss()))
	r.note("", "waits for a leader")
	return r.group.WaitLeader(ctx, until)
}

// acquire returns a connection of the pool, waiting for one where the request
// may. took is how long the target's answers usually take.
func (r *request) acquire(pool *share.Pool, took time.Duration) (*share.Conn, error) {
	if !r.atOnce {
		return pool.Acquire(r.deadline, patience(&r.route, took), r.route.Priority)
	}
	if conn := pool.TryAcquire(); conn != nil {
		return conn, nil
	}
	return nil, errNoneFree
}

// errNoneFree refuses a request that isn't to wait.
var errNoneFree = errors.New("no connection to the target is free")

// whyNoLeader says why a host without a leader of its own refuses.
func (r *request) whyNoLeader() string {
	if r.refusedThere != "" {
		return "another host: " + r.refusedThere
	}
	return "no target leads the group"
}

// needsLeader tells whether only the leader may run the statement.
func (r *request) needsLeader() bool {
	return r.writes || r.route.Freshness == catalog.LatestData
}

// exchange sends the batch with what the target must know of the session before
// it. main is the index of the caller's statement in the batch. again: the
// statement didn't run, or ran without effect, and may be tried elsewhere.
func (r *request) exchange(id topology.TargetID, pool *share.Pool, conn *share.Conn, batch []statement.Statement, main int, until time.Time) (statement.Answer, bool) {
	if !usable(conn) { // costs no try: each such connection is met once
		pool.Release(conn, false)
		r.note(id, "connection had ended")
		return r.session.refusal(statement.Busy, "connection ended while idle"), true
	}
	r.tries++
	prefix := r.session.state.replay(conn, r.uses)
	sent := steady.Now()
	answers, err := conn.Exchange(until, append(prefix, batch...)...)
	targetTimes[main > 0 || r.writes].Update(steady.Now().Sub(sent).Seconds())
	pool.Release(conn, err == nil)
	if err != nil {
		return r.broke(id, err)
	}
	for i := range prefix {
		if !answers[i].OK() {
			return r.replayFailed(conn, &answers[i])
		}
	}
	answers = answers[len(prefix):]
	if main > 0 {
		r.group.Judge(id, sent, &answers[0])
		if !answers[0].OK() { // what ran then ran without the proof
			r.note(id, "leads no more")
			return r.session.refusal(statement.Busy, "the target leads no more"), true
		}
	}
	answer := answers[main]
	answer.State = statement.Idle
	if answer.OK() {
		r.group.NoteServed(id, steady.Now().Sub(sent), &answer)
		r.note(id, "ok")
		return answer, false
	}
	r.note(id, answer.Code.String())
	return answer, answer.Code == statement.Lagging || answer.Code == statement.ReadOnly
}

// usable checks a connection before it is used. One that was idle for long may
// have gone silent.
func usable(conn *share.Conn) bool {
	if !conn.Alive() {
		return false
	}
	if conn.IdleFor() < checkIdleAfter {
		return true
	}
	_, err := conn.Exchange(time.Now().Add(checkTimeout), own(statement.Reset, ""))
	conn.Forget()
	return err == nil
}

// broke answers for a connection that broke under the statement.
func (r *request) broke(id topology.TargetID, err error) (statement.Answer, bool) {
	var b *statement.Broken
	if !errors.As(err, &b) {
		b = &statement.Broken{Sent: true, Cause: err}
	}
	r.group.NoteFailing(id)
	code, again := afterBreak(b, r.writes)
	r.note(id, "broke: "+b.Cause.Error())
	return r.session.refusal(code, b.Error()), again
}

// replayFailed answers when the target refused a session's value or name: the
// statement may have run without it.
func (r *request) replayFailed(conn *share.Conn, a *statement.Answer) (statement.Answer, bool) {
	conn.Close() // the pool finds it ended
	r.session.log.Info("target refused a session's state", "request", r.st.ID, "code", a.Code.String(), "detail", a.Detail)
	if r.writes {
		return r.session.refusal(statement.InDoubt, "the target refused the session's state"), false
	}
	return r.session.refusal(statement.Busy, "the target refused the session's state"), true
}

// raiseFloor notes an acknowledged commit of the session.
func (s *session) raiseFloor(a *statement.Answer) {
	if a.HasPosition {
		s.floor = topology.Later(s.floor, a.Position)
	}
}
