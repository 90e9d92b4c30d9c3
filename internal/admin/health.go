package admin

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/customer"
)

// State is a host's health.
type State string

// The states. A host that is ready or cut off takes callers.
const (
	Ready                State = "ready"
	CutOff               State = "cut off" // serves, without touch to the platform
	Draining             State = "draining"
	WithoutConfiguration State = "without configuration"
)

// Health answers the health check.
type Health struct {
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// healthOf decides a host's state.
func healthOf(draining, configured bool, reason string, cutOff string) Health {
	switch {
	case draining:
		return Health{State: Draining, Reason: "this host is leaving"}
	case !configured:
		return Health{State: WithoutConfiguration, Reason: reason}
	case cutOff != "":
		return Health{State: CutOff, Reason: cutOff}
	}
	return Health{State: Ready}
}

// Health returns this host's state.
func (s *Server) Health() Health {
	configured, reason := s.opts.Health()
	return healthOf(s.draining.Load(), configured, reason, s.cutOff())
}

func (s *Server) cutOff() string {
	if s.opts.Store == nil {
		return ""
	}
	return customer.OutOfTouch(s.opts.Store)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	h := s.Health()
	status := http.StatusOK
	if h.State == Draining || h.State == WithoutConfiguration {
		status = http.StatusServiceUnavailable
	}
	write(w, status, h)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}
