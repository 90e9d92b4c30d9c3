package platform

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
)

// callMetrics counts calls by method, kind and outcome.
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

func (m *callMetrics) count(r request, outcome string) {
	if m.set == nil {
		return
	}
	name := fmt.Sprintf(`nettlewalk_platform_calls_total{method=%q,kind=%q,outcome=%q}`, r.name, r.kind, outcome)
	m.set.GetOrCreateCounter(name).Inc()
}

// outcome names how an attempt ended.
func outcome(err error) string {
	var conflict *ErrConflict
	var notSent *errNotSent
	var noAnswer *errNoAnswer
	var coded *result.Error
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrGone):
		return "gone"
	case errors.As(err, &notSent):
		return "not_sent"
	case errors.As(err, &noAnswer):
		return "no_answer"
	case errors.As(err, &coded) && coded.Code == result.NotFound:
		return "not_found"
	}
	return "refused"
}
