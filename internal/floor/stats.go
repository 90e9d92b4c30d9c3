package floor

import "github.com/VictoriaMetrics/metrics"

// stats counts how floors were found.
type stats struct {
	kept      *metrics.Counter
	confirmed *metrics.Counter
	calls     *metrics.Counter
}

func newStats() *stats {
	return &stats{
		kept:      metrics.GetOrCreateCounter(`nettlewalk_floors_total{from="keeper"}`),
		confirmed: metrics.GetOrCreateCounter(`nettlewalk_floors_total{from="confirmed"}`),
		calls:     metrics.GetOrCreateCounter(`nettlewalk_floor_calls_total`),
	}
}
