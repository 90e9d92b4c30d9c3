package platform

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
)

// callMetrics counts calls by operation, kind and outcome. The metric label for
// the operation is "method".
type callMetrics struct{ set *metrics.Set }

func newCallMetrics(set *metrics.Set, state *reachability) *callMetrics {
	if set != nil {
		set.NewGauge("nettlewalk_platform_up", func() float64 {
			if up, _ := state.get(); up {
				return 1
			}
			return 0
		})
	}
	return &callMetrics{set: set}
}

func (m *callMetrics) count(req request, outcome string) {
	if m.set == nil {
		return
	}
	name := fmt.Sprintf(`nettlewalk_platform_calls_total{method=%q,kind=%q,outcome=%q}`, req.operation, req.kind, outcome)
	m.set.GetOrCreateCounter(name).Inc()
}

// countUnreadable counts objects of a kind that were left out of an answer.
func (m *callMetrics) countUnreadable(kind string, count int) {
	if m.set != nil {
		m.set.GetOrCreateCounter(fmt.Sprintf(`nettlewalk_platform_unreadable_objects_total{kind=%q}`, kind)).Add(count)
	}
}

// outcomeLabel returns the metric label for the outcome of an attempt.
func outcomeLabel(err error) string {
	var conflict *ErrConflict
	var notAppliedErr *errNotApplied
	var unknownErr *errOutcomeUnknown
	var resultErr *result.Error
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrGone):
		return "gone"
	case errors.As(err, &notAppliedErr):
		return "not_sent"
	case errors.As(err, &unknownErr):
		return "no_answer"
	case errors.As(err, &resultErr) && resultErr.Code == result.NotFound:
		return "not_found"
	}
	return "refused"
}
