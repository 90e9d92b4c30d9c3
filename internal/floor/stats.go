package floor

import "github.com/VictoriaMetrics/metrics"

// stats counts how floors were found.
type stats struct {
	answers   *metrics.Counter
	fallbacks *metrics.Counter
	calls     *metrics.Counter
}

func newStats() *stats {
	return &stats{
		answers:   metrics.GetOrCreateCounter(`nettlewalk_floors_total{from="keeper"}`),
		fallbacks: metrics.GetOrCreateCounter(`nettlewalk_floors_total{from="confirmed"}`),
		calls:     metrics.GetOrCreateCounter(`nettlewalk_floor_calls_total`),
	}
}
