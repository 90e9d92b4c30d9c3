package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/statement"
)

// targetLatency measures how long targets take to answer, by whether the statement
// needs the leader.
var targetLatency = map[bool]*metrics.Histogram{
	true:  metrics.NewHistogram(`nettlewalk_target_seconds{at="leader"}`),
	false: metrics.NewHistogram(`nettlewalk_target_seconds{at="any"}`),
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
