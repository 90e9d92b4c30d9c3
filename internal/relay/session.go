package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Catalog is the configuration in force.
type Catalog interface {
	// Configuration returns the newest version known, nil before the first.
	Configuration() *catalog.Configuration
}

// Groups finds what is known of a group.
type Groups interface {
	Group(topology.GroupID) *group.Group
}

// session serves one caller.
type session struct {
	server     *Server
	caller     Caller
	database   string
	state      sessionState
	floor      topology.Position // of the session's last acknowledged commit
	tx         *transaction      // nil: none
	answered   time.Time         // when the last answer was sent; at first when the session began
	lastID     string            // of the statement that it answered
	graceGiven bool              // it is to be closed, and waited for a last statement since then
	atOnce     bool              // statements of another host's session are refused rather than made to wait
	isHosted   bool              // it stands for a session of another host
	log        logr.Logger
}

func (s *session) run(ctx context.Context) {
	defer s.caller.Close()
	if !s.start() {
		return
	}
	defer s.endTransaction()
	for {
		if s.tx != nil && s.tx.running() && s.server.cutsTransactions() {
			s.failTransaction("host is leaving")
		}
		st, err := s.next()
		if err != nil {
			if !s.proceed(err) {
				s.close(err)
				return
			}
			continue
		}
		answer := s.serve(ctx, &st)
		if err := s.caller.Answer(&answer); err != nil {
			s.log.Info("answer not delivered", "request", st.ID, "session", s.state.id, "database", s.database,
				"code", answer.Code.String(), "result", int(answer.Code.Result()), "error", err.Error())
			return
		}
		s.answered, s.graceGiven, s.lastID = time.Now(), false, st.ID
	}
}

// start reads which database is wanted. A name without a route is refused.
func (s *session) start() bool {
	database, err := s.caller.Start()
	if errors.Is(err, ErrMalformed) {
		_ = s.caller.Refuse(statement.Malformed, "want START database")
		return false
	}
	if err != nil {
		return false
	}
	s.database = database
	if !s.server.awaitConfiguration() {
		s.log.Info("session refused", "database", database, "code", statement.Busy.String(), "reason", "no configuration is known yet")
		_ = s.caller.Refuse(statement.Busy, "no configuration is known yet")
		return false
	}
	if _, ok := s.route(); !ok {
		s.log.Info("session refused", "database", database, "code", statement.NoDatabase.String(), "result", int(statement.NoDatabase.Result()), "configuration", s.server.version())
		_ = s.caller.Refuse(statement.NoDatabase, database)
		return false
	}
	return s.caller.Ready() == nil
}

// closeGrace is how long a session that is to be closed still waits for a
// statement after an answer: many callers send the next one at once, and a
// close would meet it on its way.
const closeGrace = 30 * time.Millisecond

// next waits for the next statement, in a transaction not longer than it may
// stay idle.
func (s *session) next() (statement.Statement, error) {
	var deadline time.Time
	switch {
	case s.tx == nil && s.server.closing():
		s.graceGiven = true
		deadline = time.Now().Add(closeGrace)
	case s.tx != nil && s.tx.running():
		if idle := s.server.transactionIdle(); idle > 0 {
			deadline = time.Now().Add(idle)
		}
	}
	return s.caller.Next(deadline)
}

// proceed decides whether the session goes on after no statement came.
func (s *session) proceed(err error) bool {
	switch {
	case errors.Is(err, ErrMalformed):
		s.log.Info("message refused", "database", s.database, "code", statement.Malformed.String())
		answer := s.refusal(statement.Malformed, "unreadable message")
		return s.caller.Answer(&answer) == nil
	case !errors.Is(err, ErrNothing):
		return false
	case s.tx != nil && s.server.cutsTransactions():
		s.failTransaction("host is leaving")
		return true
	case s.tx == nil && s.server.closing():
		return s.mayGoOn()
	case s.tx != nil && s.tx.running() && !s.server.closing():
		s.failTransaction("idle for too long")
	}
	return true
}

// recently is how long after an answer a caller is most likely in the middle of
// an operation, some statements with short pauses.
const recently = 200 * time.Millisecond

// mayGoOn tells whether a session that is to be closed gets a grace period first.
func (s *session) mayGoOn() bool {
	if s.graceGiven || time.Since(s.answered) > recently {
		return false
	}
	s.graceGiven = true
	return true
}

// lateFor is how long a session that this host ended is watched for a statement
// that was on its way: more than a round trip between failure domains.
const lateFor = 60 * time.Millisecond

// close ends a session after no statement came. If it is this host that ends
// it, a statement that was on its way gets no answer, and a line for whoever
// asks what became of it: it did not run.
func (s *session) close(err error) {
	if !errors.Is(err, ErrNothing) {
		return // the caller's end
	}
	s.log.Info("session closed", "session", s.state.id, "database", s.database, "reason", "callers are sent away",
		"last_request", s.lastID, "idle_ms", time.Since(s.answered).Milliseconds())
	s.caller.CloseWrite()
	if st, err := s.caller.Next(time.Now().Add(lateFor)); err == nil {
		s.log.Info("statement met the end of its session and did not run", "request", st.ID, "session", s.state.id,
			"database", s.database, "last_request", s.lastID)
	}
}

func (s *session) route() (catalog.Route, bool) {
	c := s.server.opts.Catalog.Configuration()
	if c == nil {
		return catalog.Route{}, false
	}
	r, ok := c.Routes[s.database]
	return r, ok
}

// serve answers one statement.
func (s *session) serve(ctx context.Context, st *statement.Statement) statement.Answer {
	if s.tx != nil && s.tx.failed && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		code := statement.Malformed
		if s.tx.reason != "" { // the caller hasn't heard of the failure yet
			code = statement.Aborted
		}
		answer := s.refusal(code, s.tx.reason)
		s.tx.reason = ""
		return answer
	}
	switch st.Kind {
	case statement.Set:
		s.state.set(st)
		return s.done()
	case statement.Prepare:
		s.state.prepared[st.Name] = *st
		return s.done()
	case statement.Deallocate:
		if _, ok := s.state.prepared[st.Name]; !ok {
			return s.refusal(statement.UnknownName, st.Name)
		}
		delete(s.state.prepared, st.Name)
		return s.done()
	case statement.Begin, statement.BeginRead:
		return s.begin(st)
	case statement.Rollback:
		return s.rollback()
	case statement.Commit:
		return s.commit(ctx, st)
	}
	return s.serveData(ctx, st)
}

// serveData answers a read, a write or an execution.
func (s *session) serveData(ctx context.Context, st *statement.Statement) statement.Answer {
	writes, uses := st.Kind == statement.Write, ""
	if st.Kind == statement.Execute {
		prepared, ok := s.state.prepared[st.Name]
		if !ok {
			return s.refusal(statement.UnknownName, st.Name)
		}
		writes, uses = prepared.Writes, st.Name
	}
	if s.tx != nil {
		return s.inTransaction(ctx, st, writes, uses)
	}
	return s.single(ctx, st, writes, uses)
}

// done is the proxy's own success.
func (s *session) done() statement.Answer {
	return statement.Answer{Signature: ownSignature, State: s.txState()}
}

// ownSignature stands where a target's signature would.
const ownSignature = "-"

func (s *session) refusal(code statement.Code, detail string) statement.Answer {
	return statement.Answer{Code: code, Detail: detail, State: s.txState()}
}

func (s *session) txState() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Failed
	}
	return statement.InTransaction
}
