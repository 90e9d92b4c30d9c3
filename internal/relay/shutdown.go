package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
)

// busySessionPeriod is how long a host that shuts down waits for a gap of closeGracePeriod
// between the statements of each session. Sessions that leave none by then are closed right
// after an answer.
const busySessionPeriod = 500 * time.Millisecond

// shuttingDownDetail tells a caller why its statement or transaction doesn't run.
const shuttingDownDetail = "host is shutting down"

// closesBusySessions reports whether a session is closed right after an answer, unless its next
// statement has arrived.
func (s *Server) closesBusySessions() bool {
	since := s.shuttingDownSince.Load()
	return since != nil && steady.Now().Sub(*since) >= busySessionPeriod
}

// noteShuttingDown records when the host began to close sessions for its shutdown.
func (s *Server) noteShuttingDown() {
	now := steady.Now()
	s.shuttingDownSince.CompareAndSwap(nil, &now)
}

// operationsRefused counts the operations that were refused because the host shuts down.
var operationsRefused = metrics.NewCounter("nettlewalk_operations_refused_shutting_down_total")

// refuseOperation refuses a statement that begins an operation once the host ends transactions:
// a target might still be at work on it when the process exits. The caller is told that it
// didn't run, and the session is closed between this answer and the next statement. A
// transaction without a statement is aborted, of which the answer to this one tells.
func (s *session) refuseOperation(st *statement.Statement) (answer statement.Answer, refused bool) {
	if s.isForwarded() || !s.server.abortsTransactions() {
		return answer, false
	}
	if s.tx != nil {
		if !s.tx.failed && !s.tx.running() {
			s.abortTransaction(shuttingDownDetail)
		}
		return answer, false
	}
	switch st.Kind {
	case statement.Set, statement.Prepare, statement.Deallocate, statement.Commit, statement.Rollback:
		return answer, false // answered by this host
	}
	operationsRefused.Inc()
	if s.server.sampler.allow([]string{"refused operation"}) {
		s.log.Info("operation refused", "request", st.ID, "session", s.state.id, "database", s.database,
			"code", statement.Busy.String(), "result", int(statement.Busy.Result()), "reason", shuttingDownDetail)
	}
	return s.refusal(statement.Busy, s.withUnconfirmedTime(shuttingDownDetail)), true
}
