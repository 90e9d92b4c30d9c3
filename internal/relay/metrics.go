package relay

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/statement"
)

// targetTimes are how long targets took to answer, by whether the statement
// needed the leader.
var targetTimes = map[bool]*metrics.Histogram{
	true:  metrics.NewHistogram(`nettlewalk_target_seconds{at="leader"}`),
	false: metrics.NewHistogram(`nettlewalk_target_seconds{at="any"}`),
}

// count notes the end of a statement. Labels are bounded: two kinds and the codes.
func (s *Server) count(r *request, a *statement.Answer) {
	kind := "read"
	if r.writes {
		kind = "write"
	}
	metrics.GetOrCreateCounter(`nettlewalk_statements_total{kind="` + kind + `",code="` + a.Code.String() + `"}`).Inc()
	metrics.GetOrCreateHistogram(`nettlewalk_statement_seconds{kind="` + kind + `"}`).Update(time.Since(r.arrived).Seconds())
}
