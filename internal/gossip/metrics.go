package gossip

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
)

var (
	exchangesUnreachable = metrics.NewCounter(`nettlewalk_gossip_exchanges_failed_total{reason="unreachable"}`)
	exchangesTimedOut    = metrics.NewCounter(`nettlewalk_gossip_exchanges_failed_total{reason="timeout"}`)
	exchangesBroken      = metrics.NewCounter(`nettlewalk_gossip_exchanges_failed_total{reason="broken"}`)
)

// countFailedExchange counts an exchange by the reason of its failure: nothing was
// sent, no answer came in time, or the connection broke.
func countFailedExchange(ctx context.Context, err error) {
	var resultErr *result.Error
	switch {
	case errors.As(err, &resultErr) && resultErr.Code == result.HostUnreachable:
		exchangesUnreachable.Inc()
	case ctx.Err() != nil:
		exchangesTimedOut.Inc()
	default:
		exchangesBroken.Inc()
	}
}

var (
	// snapshotBytes counts the bytes of snapshots received from other hosts.
	snapshotBytes = [snapshotKinds]*metrics.Counter{
		metrics.NewCounter(`nettlewalk_snapshot_received_bytes_total{kind="configuration"}`),
		metrics.NewCounter(`nettlewalk_snapshot_received_bytes_total{kind="registry"}`),
	}
	snapshotsEncoded = metrics.NewCounter(`nettlewalk_snapshot_encodings_total`)
	fetchesCompleted = metrics.NewCounter(`nettlewalk_snapshot_fetches_total{outcome="completed"}`)
	fetchesBusy      = metrics.NewCounter(`nettlewalk_snapshot_fetches_total{outcome="busy"}`)
	fetchesSlow      = metrics.NewCounter(`nettlewalk_snapshot_fetches_total{outcome="slow"}`)
	fetchesFailed    = metrics.NewCounter(`nettlewalk_snapshot_fetches_total{outcome="failed"}`)
)

func countFetch(err error) {
	switch {
	case err == nil:
		fetchesCompleted.Inc()
	case errors.Is(err, errSourceBusy):
		fetchesBusy.Inc()
	case errors.Is(err, errSourceSlow):
		fetchesSlow.Inc()
	default:
		fetchesFailed.Inc()
	}
}
