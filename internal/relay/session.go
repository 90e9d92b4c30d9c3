package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Catalog provides the configuration in force.
type Catalog interface {
	// Configuration returns the newest known version, or nil before the first.
	Configuration() *catalog.Configuration
}

// Groups provides the state of each group.
type Groups interface {
	Group(topology.GroupID) *group.Group
}

// session serves one caller.
type session struct {
	server          *Server
	caller          Caller
	database        string
	key             string                      // given by the caller; "": none
	credentials     atomic.Pointer[credentials] // nil until the startup has been read
	revoked         bool                        // the key was valid and is no longer
	customer        topology.CustomerID         // for whom the current operation runs; "": no customer
	state           sessionState
	floor           topology.Position // log position of the session's last acknowledged commit
	tx              *transaction      // nil: none is open
	lastAnswerAt    time.Time         // when the last answer was sent; initially the start of the session
	idleUntil       time.Time         // when the running transaction is idle for too long; zero: no limit
	lastStatementID string            // ID of the last answered statement
	graceUntil      time.Time         // end of the grace period since the last answer; zero: none was given
	noWait          bool              // refuse forwarded statements rather than queue them
	forPeer         bool              // serves a transaction of another host's session
	foreign         bool              // serves a statement of another failure domain
	log             logr.Logger
}

func (s *session) run(ctx context.Context) {
	defer s.caller.Close()
	if !s.start() {
		return
	}
	defer s.endTransaction()
	for {
		s.caller.ClearInterrupt()
		s.updateRevoked()
		if s.tx != nil && s.tx.running() && s.server.abortsTransactions() {
			s.abortTransaction(shuttingDownDetail)
		}
		st, err := s.nextStatement()
		if err != nil {
			if !s.continueAfter(err) {
				s.close(err)
				return
			}
			continue
		}
		answer := s.serve(ctx, &st)
		if err := s.caller.Answer(&answer); err != nil {
			sessionsClosed[closedByError].Inc()
			s.log.Info("answer not delivered", "request", st.ID, "session", s.state.id, "database", s.database,
				"code", answer.Code.String(), "result", int(answer.Code.Result()), "error", err.Error())
			return
		}
		s.lastAnswerAt, s.graceUntil, s.lastStatementID = time.Now(), time.Time{}, st.ID
	}
}

// start reads which database is requested. It refuses a name without a route.
func (s *session) start() bool {
	startup, err := s.caller.ReadStartup()
	if errors.Is(err, ErrMalformed) {
		_ = s.caller.Refuse(statement.Malformed, "expected START database")
		return false
	}
	if err != nil {
		return false
	}
	database := startup.Database
	s.database, s.key = database, startup.Key
	if !s.server.awaitConfiguration() {
		s.log.Info("session refused", "database", database, "code", statement.Busy.String(), "reason", "no configuration is known yet")
		_ = s.caller.Refuse(statement.Busy, s.withUnconfirmedTime("no configuration is known yet"))
		return false
	}
	if _, ok := s.route(); !ok {
		s.log.Info("session refused", "database", database, "code", statement.NoDatabase.String(), "result", int(statement.NoDatabase.Result()), "configuration", s.server.configurationVersion())
		_ = s.caller.Refuse(statement.NoDatabase, database)
		return false
	}
	if s.refuseStartup() {
		return false
	}
	return s.caller.Ready() == nil
}

// closeGracePeriod is how long a draining session waits for a statement after an
// answer: many callers send the next one immediately, and it would cross the close.
const closeGracePeriod = 30 * time.Millisecond

// newSessionGracePeriod is how long a draining session waits for its first statement:
// more than a round trip between failure domains.
const newSessionGracePeriod = 100 * time.Millisecond

// gracePeriod returns how long a draining session waits for a statement.
func (s *session) gracePeriod() time.Duration {
	switch {
	case s.lastStatementID == "":
		return newSessionGracePeriod
	case s.server.closesBusySessions():
		return 0
	}
	return closeGracePeriod
}

// nextStatement waits for the next statement, in a running transaction no longer
// than its idle timeout.
func (s *session) nextStatement() (statement.Statement, error) {
	var deadline time.Time
	s.idleUntil = time.Time{}
	switch {
	case s.revoked:
		deadline = s.revokedDeadline()
	case s.tx == nil && s.server.isDraining():
		if s.graceUntil.IsZero() {
			s.graceUntil = time.Now().Add(s.gracePeriod())
		}
		deadline = s.graceUntil
	case s.tx != nil && s.tx.running():
		if idle := s.server.transactionIdleTimeout(); idle > 0 {
			s.idleUntil = time.Now().Add(idle)
			deadline = s.idleUntil
		}
	}
	return s.caller.Next(deadline)
}

// continueAfter decides whether the session continues after an error of Next.
func (s *session) continueAfter(err error) bool {
	switch {
	case errors.Is(err, ErrMalformed):
		s.log.Info("message refused", "database", s.database, "code", statement.Malformed.String())
		answer := s.refusal(statement.Malformed, "unreadable message")
		return s.caller.Answer(&answer) == nil
	case errors.Is(err, ErrNoMemory):
		return s.refuseLargeMessage()
	case !errors.Is(err, ErrNoMessage):
		return false
	case s.tx != nil && !s.tx.failed && s.server.abortsTransactions():
		s.abortTransaction(shuttingDownDetail)
		return true
	case s.revoked:
		return s.continueRevoked()
	case s.tx == nil && s.server.isDraining():
		return s.grantGrace()
	case s.tx != nil && s.tx.running() && !s.server.isDraining() && s.idleForTooLong():
		s.abortTransaction("idle for too long")
	}
	return true
}

// noMemoryDetail tells a caller why its statement didn't run.
const noMemoryDetail = "large statements take too much memory at this time"

// refuseLargeMessage refuses a statement for which there is no memory, and fails its
// transaction. It reports whether the session continues.
func (s *session) refuseLargeMessage() bool {
	s.log.Info("message refused", "database", s.database, "code", statement.Busy.String(), "reason", noMemoryDetail)
	answer := s.refusal(statement.Busy, noMemoryDetail)
	if s.tx != nil {
		answer = s.failWith(answer, true)
	}
	s.graceUntil = time.Time{}
	return s.caller.Answer(&answer) == nil
}

// idleForTooLong tells whether the idle timeout has passed. An interrupt may end the
// wait for a statement before.
func (s *session) idleForTooLong() bool {
	return !s.idleUntil.IsZero() && !time.Now().Before(s.idleUntil)
}

// A caller that got an answer less than operationGap ago is most likely in the middle
// of an operation: several statements with short pauses.
const operationGap = 200 * time.Millisecond

// grantGrace tells whether a draining session is in its grace period, which an
// interrupt doesn't end. A session gets only one after each answer.
func (s *session) grantGrace() bool {
	if !s.graceUntil.IsZero() {
		return time.Now().Before(s.graceUntil)
	}
	if time.Since(s.lastAnswerAt) > operationGap {
		return false
	}
	s.graceUntil = time.Now().Add(s.gracePeriod())
	return true
}

const (
	// lingerTimeout limits how long a session that this host closed still reads.
	lingerTimeout = time.Second
	// lateStatementWait is how long it reads after a statement that arrived too late:
	// whoever sends one has received the answers before it, and waits for the end.
	lateStatementWait = 60 * time.Millisecond
)

// close ends a session after an error of Next. If this host closes the session, a
// statement in flight gets no answer; the log then shows that it didn't run.
func (s *session) close(err error) {
	reason := s.server.closeReason(err)
	if s.revoked && errors.Is(err, ErrNoMessage) {
		reason = closedKeyRemoved
	}
	sessionsClosed[reason].Inc()
	if reason == closedByCaller || reason == closedByError {
		return
	}
	s.caller.CloseWrite() // before the log line, since nothing that arrives from here on is answered
	s.log.Info("session closed", "session", s.state.id, "database", s.database, "reason", string(reason),
		"last_request", s.lastStatementID, "idle_ms", time.Since(s.lastAnswerAt).Milliseconds())
	s.linger()
}

// linger reads until the caller ends the session too: unread or late messages would
// reset the connection and discard answers that are still under way. It counts and
// logs statements, and runs none.
func (s *session) linger() {
	start := time.Now()
	defer func() { lingerSeconds.Update(time.Since(start).Seconds()) }()
	for deadline := start.Add(lingerTimeout); time.Now().Before(deadline); {
		s.caller.ClearInterrupt()
		st, err := s.caller.Next(deadline)
		switch {
		case err == nil:
			s.recordLateStatement(&st)
			if end := time.Now().Add(lateStatementWait); end.Before(deadline) {
				deadline = end
			}
		case !errors.Is(err, ErrNoMessage) && !errors.Is(err, ErrMalformed):
			return
		}
	}
}

func (s *session) recordLateStatement(st *statement.Statement) {
	statementsAfterClose.Inc()
	s.log.Info("statement arrived after its session was closed and did not run", "request", st.ID, "session", s.state.id,
		"database", s.database, "last_request", s.lastStatementID)
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
	if answer, refused := s.checkKey(st); refused {
		return answer
	}
	if answer, refused := s.refuseOperation(st); refused {
		return answer
	}
	if s.tx != nil && s.tx.failed && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		code := statement.Malformed
		if s.tx.unreportedReason != "" { // the caller hasn't been told of the failure yet
			code = s.tx.unreportedCode
		}
		answer := s.refusal(code, s.tx.unreportedReason)
		s.tx.unreportedReason = ""
		return answer
	}
	switch st.Kind {
	case statement.Set:
		s.state.set(st)
		return s.success()
	case statement.Prepare:
		s.state.prepared[st.Name] = *st
		return s.success()
	case statement.Deallocate:
		if _, ok := s.state.prepared[st.Name]; !ok {
			return s.refusal(statement.UnknownPrepared, st.Name)
		}
		delete(s.state.prepared, st.Name)
		return s.success()
	case statement.Begin, statement.BeginReadOnly:
		return s.serveBegin(st)
	case statement.Rollback:
		return s.serveRollback()
	case statement.Commit:
		return s.serveCommit(ctx, st)
	}
	return s.serveData(ctx, st)
}

// serveData answers a Read, Write or Execute statement.
func (s *session) serveData(ctx context.Context, st *statement.Statement) statement.Answer {
	writes, preparedName := st.Kind == statement.Write, ""
	if st.Kind == statement.Execute {
		prepared, ok := s.state.prepared[st.Name]
		if !ok {
			return s.refusal(statement.UnknownPrepared, st.Name)
		}
		writes, preparedName = prepared.Writes, st.Name
	}
	if s.tx != nil {
		return s.serveInTransaction(ctx, st, writes, preparedName)
	}
	return s.serveSingle(ctx, st, writes, preparedName)
}

// success returns the proxy's own answer to a statement that succeeded.
func (s *session) success() statement.Answer {
	return statement.Answer{Signature: proxySignature, State: s.txState()}
}

// proxySignature replaces a target's signature in the proxy's own answers.
const proxySignature = "-"

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
