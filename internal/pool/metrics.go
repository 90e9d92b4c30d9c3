package pool

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/result"
)

var (
	slotTakeovers    = metrics.NewCounter("nettlewalk_pool_slot_takeovers_total")
	silentConns      = metrics.NewCounter("nettlewalk_pool_silent_connections_total")
	connects         = metrics.NewCounter("nettlewalk_pool_connects_total")
	connectFailures  = metrics.NewCounter("nettlewalk_pool_connect_failures_total")
	connectSeconds   = metrics.NewHistogram("nettlewalk_pool_connect_seconds")
	queueSeconds     = metrics.NewHistogram("nettlewalk_pool_queue_seconds")
	targetSeconds    = metrics.NewHistogram("nettlewalk_pool_target_seconds")
	storedResponses  = metrics.NewCounter("nettlewalk_pool_stored_answers_returned_total")
	retriedReads     = metrics.NewCounter("nettlewalk_pool_silent_reads_retried_total")
	replacedStreams  = metrics.NewCounter("nettlewalk_pool_replaced_primary_streams_total")
	abandonedStreams = metrics.NewCounter("nettlewalk_pool_abandoned_streams_total")
)

func controlFailures(kind HealthKind) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("nettlewalk_pool_control_failures_total{kind=%q}", string(kind)))
}

func countRefusal(code result.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nettlewalk_pool_refusals_total{code="%d"}`, code)).Inc()
}

// slotMetrics registers the gauges of a slot. The slot unregisters them when it
// is closed.
func slotMetrics(s *slot) *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, read func(SlotState) int) {
		full := fmt.Sprintf(`nettlewalk_pool_%s{target=%q,slot="%d"}`, name, string(s.id), s.number)
		set.NewGauge(full, func() float64 { return float64(read(s.snapshot())) })
	}
	gauge("queue_length", func(state SlotState) int { return state.Queue })
	gauge("connections", func(state SlotState) int { return state.Connections })
	gauge("idle_connections", func(state SlotState) int { return state.Idle })
	metrics.RegisterSet(set)
	return set
}
