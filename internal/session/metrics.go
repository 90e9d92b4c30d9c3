package session

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

var (
	connectionsTotal = metrics.GetOrCreateCounter("nettlewalk_caller_connections_total")
	activeSessions   = metrics.GetOrCreateCounter("nettlewalk_caller_sessions") // a gauge, kept as a counter that is decremented
	bytesToClients   = metrics.GetOrCreateCounter("nettlewalk_caller_sent_bytes_total")
	bytesFromClients = metrics.GetOrCreateCounter("nettlewalk_caller_received_bytes_total")
	batchesLocal     = metrics.GetOrCreateCounter(`nettlewalk_batches_total{answered_by="session"}`)
	batchesPrimary   = metrics.GetOrCreateCounter(`nettlewalk_batches_total{answered_by="primary"}`)
	batchesReplica   = metrics.GetOrCreateCounter(`nettlewalk_batches_total{answered_by="replica"}`)
	transactionsLost = metrics.GetOrCreateCounter("nettlewalk_transactions_lost_total")
	cancelsTotal     = metrics.GetOrCreateCounter("nettlewalk_cancel_requests_total")
)

// batchDuration returns the histogram for the duration of routed batches,
// including time in queues.
func batchDuration(class pool.Class) *metrics.Histogram {
	if class == pool.Read {
		return readBatchDuration
	}
	return writeBatchDuration
}

var (
	readBatchDuration  = metrics.GetOrCreateHistogram(`nettlewalk_batch_duration_seconds{class="read"}`)
	writeBatchDuration = metrics.GetOrCreateHistogram(`nettlewalk_batch_duration_seconds{class="write"}`)
)

// countRefusal counts an error that was sent to a client.
func countRefusal(code result.Code) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nettlewalk_refusals_total{code="%d"}`, code)).Inc()
}
