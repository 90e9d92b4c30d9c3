package admin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second // time limit for running requests at shutdown
)

// Options connects the API to the other components. The API leaves out the data
// of optional components that are nil.
type Options struct {
	Self               topology.Host
	Operators          []Operator
	Store              *customer.Store
	Platform           *platform.Client
	Peers              peer.Caller
	Hosts              func() []topology.Host             // live and leaving hosts
	ConfigurationReady func() (ready bool, reason string) // whether a configuration is loaded, and if not, why
	Dumps              map[string]func() any              // state dump by component
	Groups             func() []GroupStatus               // groups as this host sees them
	Slots              func() any                         // slots that this host holds, with their queues
	Usage              func(context.Context, topology.CustomerID) (any, error)
	Log                logr.Logger
}

// GroupStatus is the status of a group as one host sees it.
type GroupStatus struct {
	ID      topology.GroupID  `json:"id"`
	Term    uint64            `json:"term"`
	Primary topology.TargetID `json:"primary"`
	Targets []TargetStatus    `json:"targets,omitempty"`
}

// TargetStatus is the status of a target as one host sees it.
type TargetStatus struct {
	ID      topology.TargetID `json:"id"`
	Role    string            `json:"role"`
	Applied string            `json:"applied"` // last applied log position
	Lag     string            `json:"lag"`     // upper bound on the age of its data
}

// Server serves the administration API.
type Server struct {
	opts     Options
	draining atomic.Bool
}

// New returns a server. Call Serve to start it.
func New(opts Options) *Server { return &Server{opts: opts} }

// SetDraining marks the host as draining, so that the health check fails.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Serve serves requests on l until ctx is canceled, then shuts down and closes l.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	}()
	err := server.Serve(l)
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return err
}

// Handler returns the HTTP handler with all routes of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /metrics", s.metrics)
	s.handleAuthenticated(mux, "GET /v1/dump", s.dump)
	s.handleAuthenticated(mux, "GET /v1/status", s.status)
	s.handleAuthenticated(mux, "GET /v1/status/{kind}/{name}", s.objectStatus)
	s.handleAuthenticated(mux, "GET /v1/usage/{name}", s.usage)
	s.handleAuthenticated(mux, "GET /v1/{kind}", s.list)
	s.handleAuthenticated(mux, "GET /v1/{kind}/{name}", s.get)
	s.handleAuthenticated(mux, "PUT /v1/{kind}/{name}", s.put)
	s.handleAuthenticated(mux, "DELETE /v1/{kind}/{name}", s.delete)
	return mux
}
