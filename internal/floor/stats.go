package floor

import "github.com/VictoriaMetrics/metrics"

// stats counts floor lookups by source, and calls to keepers.
type stats struct {
	keeperAnswers    *metrics.Counter
	confirmedAnswers *metrics.Counter
	keeperCalls      *metrics.Counter
}

func newStats() *stats {
	return &stats{
		keeperAnswers:    metrics.GetOrCreateCounter(`nettlewalk_floors_total{from="keeper"}`),
		confirmedAnswers: metrics.GetOrCreateCounter(`nettlewalk_floors_total{from="confirmed"}`),
		keeperCalls:      metrics.GetOrCreateCounter(`nettlewalk_floor_calls_total`),
	}
}
