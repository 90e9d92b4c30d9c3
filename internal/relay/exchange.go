package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// exchange sends the batch, preceded by the session state that the target lacks.
// callerIndex is the index of the caller's statement in the batch. The second result
// tells whether the statement didn't run, or ran without effect, and may be retried.
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
	prefix := r.session.state.replay(conn, r.preparedName)
	sent := steady.Now()
	answers, err := conn.Exchange(deadline, append(prefix, batch...)...)
	r.recordExchange(id, callerIndex > 0 || r.writes, conn)
	targetLatency[callerIndex > 0 || r.writes].Update(steady.Now().Sub(sent).Seconds())
	pool.Release(conn, err == nil)
	if err != nil {
		return r.answerBroken(id, err)
	}
	r.mayHaveRun = r.mayHaveRun || !answers[len(prefix)+callerIndex].Code.NotRun()
	for i := range prefix {
		if !answers[i].OK() {
			return r.answerReplayFailed(conn, &answers[i])
		}
	}
	answers = answers[len(prefix):]
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
	if conn.IdleFor() < idleCheckThreshold {
		return true
	}
	_, err := conn.Exchange(time.Now().Add(idleCheckTimeout), proxyStatement(statement.Reset, ""))
	conn.ClearSession()
	return err == nil
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

// answerReplayFailed returns the answer if the target refused to restore a session
// value or prepared statement. The caller's statement, sent in the same batch, may
// have run without that state.
func (r *request) answerReplayFailed(conn *share.Conn, a *statement.Answer) (statement.Answer, bool) {
	conn.Close() // the pool discards a closed connection
	r.session.log.Info("target refused session state", "request", r.st.ID, "code", a.Code.String(), "detail", a.Detail)
	if r.writes {
		return r.session.refusal(statement.InDoubt, "the target refused the session state"), false
	}
	return r.session.refusal(statement.Busy, "the target refused the session state"), true
}
