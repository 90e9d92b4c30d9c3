package admin

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/customer"
)

// State is the health state of a host.
type State string

// Health states. A host accepts callers in the states Ready and CutOff.
const (
	Ready        State = "ready"
	CutOff       State = "cut off" // serves without contact to the platform
	Draining     State = "draining"
	Unconfigured State = "without configuration"
)

// Health is the answer to a health check.
type Health struct {
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// determineHealth returns the health of a host. configurationReason tells why the
// host has no configuration. cutOffReason tells why the host is cut off from the
// platform, or is "" if it isn't.
func determineHealth(draining, configured bool, configurationReason string, cutOffReason string) Health {
	switch {
	case draining:
		return Health{State: Draining, Reason: "this host is leaving"}
	case !configured:
		return Health{State: Unconfigured, Reason: configurationReason}
	case cutOffReason != "":
		return Health{State: CutOff, Reason: cutOffReason}
	}
	return Health{State: Ready}
}

// Health returns the health of this host.
func (s *Server) Health() Health {
	configured, reason := s.opts.ConfigurationReady()
	return determineHealth(s.draining.Load(), configured, reason, s.cutOffReason())
}

func (s *Server) cutOffReason() string {
	if s.opts.Store == nil {
		return ""
	}
	return customer.StaleReason(s.opts.Store)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	h := s.Health()
	status := http.StatusOK
	if h.State == Draining || h.State == Unconfigured {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, h)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}
