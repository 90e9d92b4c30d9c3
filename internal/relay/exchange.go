package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// exchange sends the batch over a connection that has the session's state, and returns
// the connection to its pool. callerIndex is the index of the caller's statement in the
// batch. The second result tells whether the statement didn't run, or ran without
// effect, and may be retried.
func (r *request) exchange(id topology.TargetID, pool *share.Pool, conn *share.Conn, batch []statement.Statement, callerIndex int, deadline time.Time) (statement.Answer, bool) {
	if !isUsable(conn) { // not counted as a try: each dead connection is found only once
		pool.Release(conn, false)
		r.group.NoteClosed(id)
		r.addStep(id, "connection was closed")
		return r.session.refusal(statement.Busy, "connection was closed while idle"), true
	}
	if !r.chargeSending() {
		pool.Release(conn, true)
		return r.budgetRefusal(), false
	}
	r.tries++
	if applied, err := r.applyState(id, conn, deadline); err != nil {
		pool.Release(conn, errors.Is(err, errStateRefused) && endsIdle(applied))
		return r.session.refusal(r.unsentCode(err), err.Error()), true
	}
	if pool.Ended() {
		pool.Release(conn, true)
		r.addStep(id, share.ErrEnded.Error())
		return r.session.refusal(statement.Busy, share.ErrEnded.Error()), true
	}
	sent := steady.Now()
	answers, err := conn.Exchange(deadline, batch...)
	r.recordExchange(id, callerIndex > 0 || r.writes, conn)
	targetLatency[callerIndex > 0 || r.writes].Update(steady.Now().Sub(sent).Seconds())
	pool.Release(conn, err == nil && endsIdle(answers))
	if err != nil {
		return r.answerBroken(id, err)
	}
	r.mayHaveRun = r.mayHaveRun || !answers[callerIndex].Code.NotRun()
	if callerIndex > 0 {
		r.group.NoteBeginAnswer(id, sent, &answers[0])
		if !answers[0].OK() { // the statement ran without proof of leadership
			r.addStep(id, "no longer leads")
			return r.session.refusal(statement.Busy, "the target no longer leads"), true
		}
		if !r.group.CoversAnswer(id) {
			r.addStep(id, "lease ended before the answer arrived")
			return r.session.refusal(statement.Busy, leaseEndedDetail), true
		}
	}
	answer := answers[callerIndex]
	answer.State = statement.Idle
	if answer.OK() {
		r.group.NoteServed(id, steady.Now().Sub(sent), &answer)
		r.session.server.retrySchedules.noteServed(r.route.Group, callerIndex > 0 || r.writes)
		r.addStep(id, "ok")
		return answer, false
	}
	if answer.Code == statement.RunFailed {
		r.group.NoteFailedAnswer(id)
	}
	r.addStep(id, answer.Code.String())
	return answer, answer.Code == statement.Lagging || answer.Code == statement.ReadOnly
}

// isUsable checks a connection before use. It sends a probe on a connection that
// has been idle for long, which may have failed silently.
func isUsable(conn *share.Conn) bool {
	if !conn.Alive() {
		return false
	}
	return conn.IdleFor() < idleCheckThreshold || answersReset(conn)
}

// answersReset sends RESET. It reports whether an answer arrives and no transaction is open.
func answersReset(conn *share.Conn) bool {
	answers, err := conn.Exchange(time.Now().Add(idleCheckTimeout), proxyStatement(statement.Reset, ""))
	if err != nil {
		return false
	}
	if answers[0].OK() {
		conn.ClearSession()
	}
	return endsIdle(answers)
}

// answerBroken returns the answer for a statement whose connection broke.
func (r *request) answerBroken(id topology.TargetID, err error) (statement.Answer, bool) {
	var broken *statement.ConnError
	if !errors.As(err, &broken) {
		broken = &statement.ConnError{Sent: true, Cause: err}
	}
	r.mayHaveRun = r.mayHaveRun || broken.Sent
	r.group.NoteFailing(id)
	if broken.Sent {
		r.group.NoteFailedAnswer(id)
	}
	code, retry := classifyBreak(broken, r.writes)
	r.addStep(id, "connection broke: "+broken.Cause.Error())
	return r.session.refusal(code, broken.Error()), retry
}

// unsentCode returns the code for a statement that wasn't sent because of an error of
// applyState. A read whose target didn't answer in time counts as timed out.
func (r *request) unsentCode(err error) statement.Code {
	var broken *statement.ConnError
	if !r.writes && errors.As(err, &broken) && broken.Timeout {
		return statement.TimedOut
	}
	return statement.Busy
}
