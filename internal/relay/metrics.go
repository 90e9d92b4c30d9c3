package relay

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
)

// targetLatency measures how long targets take to answer, by whether the statement
// needs the leader.
var targetLatency = map[bool]*metrics.Histogram{
	true:  metrics.NewHistogram(`nettlewalk_target_seconds{at="leader"}`),
	false: metrics.NewHistogram(`nettlewalk_target_seconds{at="any"}`),
}

// commitConfirmationSeconds measures how long it takes to confirm a commit, or to fail.
var commitConfirmationSeconds = metrics.NewHistogram("nettlewalk_commit_confirmation_seconds")

// commitConfirmations counts the commits that targets acknowledged, by whether they were
// confirmed.
var commitConfirmations = map[bool]*metrics.Counter{
	true:  metrics.NewCounter(`nettlewalk_commit_confirmations_total{outcome="confirmed"}`),
	false: metrics.NewCounter(`nettlewalk_commit_confirmations_total{outcome="failed"}`),
}

// countStatement records the end of a statement. The labels are bounded: two kinds
// and the codes.
func (s *Server) countStatement(r *request, a *statement.Answer) {
	kind := "read"
	if r.writes {
		kind = "write"
	}
	metrics.GetOrCreateCounter(`nettlewalk_statements_total{kind="` + kind + `",code="` + a.Code.String() + `"}`).Inc()
	metrics.GetOrCreateHistogram(`nettlewalk_statement_seconds{kind="` + kind + `"}`).Update(time.Since(r.arrivedAt).Seconds())
}

// closeReason tells why a session ended.
type closeReason string

const (
	closedShuttingDown closeReason = "shutting_down" // by this host, between requests
	closedIsolated     closeReason = "isolated"      // by this host, between requests
	closedKeyRemoved   closeReason = "key_removed"   // by this host, between requests
	closedByCaller     closeReason = "caller_left"
	closedByError      closeReason = "error"
)

// sessionsClosed counts the sessions that ended after they were established.
var sessionsClosed = map[closeReason]*metrics.Counter{
	closedShuttingDown: metrics.NewCounter(`nettlewalk_sessions_closed_total{reason="shutting_down"}`),
	closedIsolated:     metrics.NewCounter(`nettlewalk_sessions_closed_total{reason="isolated"}`),
	closedKeyRemoved:   metrics.NewCounter(`nettlewalk_sessions_closed_total{reason="key_removed"}`),
	closedByCaller:     metrics.NewCounter(`nettlewalk_sessions_closed_total{reason="caller_left"}`),
	closedByError:      metrics.NewCounter(`nettlewalk_sessions_closed_total{reason="error"}`),
}

// statementsAfterClose counts statements that arrived after this host had closed
// their session. None of them ran.
var statementsAfterClose = metrics.NewCounter("nettlewalk_statements_after_close_total")

// lingerSeconds measures how long callers take to end a session that this host closed.
var lingerSeconds = metrics.NewHistogram("nettlewalk_session_linger_seconds")

// closeReason returns why a session ends after an error of Next.
func (s *Server) closeReason(err error) closeReason {
	switch {
	case errors.Is(err, ErrSessionEnded), errors.Is(err, io.EOF):
		return closedByCaller
	case !errors.Is(err, ErrNoMessage):
		return closedByError
	case s.drainReason() == ShuttingDown:
		return closedShuttingDown
	}
	return closedIsolated // possibly in contact again meanwhile; a stop is never taken back
}
