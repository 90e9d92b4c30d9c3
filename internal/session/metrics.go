package session

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

var (
	connectionsTotal = metrics.GetOrCreateCounter("nettlewalk_caller_connections_total")
	sessionsNow      = metrics.GetOrCreateCounter("nettlewalk_caller_sessions") // goes up and down
	bytesToCallers   = metrics.GetOrCreateCounter("nettlewalk_caller_sent_bytes_total")
	bytesFromCallers = metrics.GetOrCreateCounter("nettlewalk_caller_received_bytes_total")
	batchesLocal     = metrics.GetOrCreateCounter(`nettlewalk_batches_total{answered_by="session"}`)
	batchesPrimary   = metrics.GetOrCreateCounter(`nettlewalk_batches_total{answered_by="primary"}`)
	batchesReplica   = metrics.GetOrCreateCounter(`nettlewalk_batches_total{answered_by="replica"}`)
	transactionsLost = metrics.GetOrCreateCounter("nettlewalk_transactions_lost_total")
	cancelsTotal     = metrics.GetOrCreateCounter("nettlewalk_cancel_requests_total")
)

// batchSeconds measures routed batches, waiting included.
func batchSeconds(class pool.Class) *metrics.Histogram {
	if class == pool.Read {
		return readSeconds
	}
	return writeSeconds
}

var (
	readSeconds  = metrics.GetOrCreateHistogram(`nettlewalk_batch_duration_seconds{class="read"}`)
	writeSeconds = metrics.GetOrCreateHistogram(`nettlewalk_batch_duration_seconds{class="write"}`)
)

// countRefusal counts an error that a caller was given.
func countRefusal(code result.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nettlewalk_refusals_total{code="%d"}`, code)).Inc()
}
