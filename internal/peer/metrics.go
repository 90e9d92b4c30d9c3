package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	bytesSent         = metrics.NewCounter("nettlewalk_peer_sent_bytes_total")
	bytesReceived     = metrics.NewCounter("nettlewalk_peer_received_bytes_total")
	handshakesRefused = metrics.NewCounter("nettlewalk_peer_handshakes_refused_total")
	connectionsOpened = metrics.NewCounter("nettlewalk_peer_connections_opened_total")
	connectionsSilent = metrics.NewCounter("nettlewalk_peer_connections_silent_total")
	dialsFailed       = metrics.NewCounter("nettlewalk_peer_dials_failed_total")
)

func countCall(method string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nettlewalk_peer_calls_total{method=%q}", method)).Inc()
}
