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
	shutdownTimeout   = 2 * time.Second // for requests under way at the end
)

// Options joins the API to the other slices. What is nil is left out.
type Options struct {
	Self      topology.Host
	Operators []Operator
	Store     *customer.Store
	Client    *platform.Client
	Peers     peer.Caller
	Hosts     func() []topology.Host             // live and leaving ones
	Health    func() (ready bool, reason string) // of the configuration
	Dumps     map[string]func() any              // state by slice
	Groups    func() []GroupStatus               // as this host sees them
	Slots     func() any                         // slots that this host holds, with their queues
	Usage     func(context.Context, topology.CustomerID) (any, error)
	Log       logr.Logger
}

// GroupStatus is what a host knows of a group.
type GroupStatus struct {
	ID      topology.GroupID  `json:"id"`
	Term    uint64            `json:"term"`
	Primary topology.TargetID `json:"primary"`
	Targets []TargetStatus    `json:"targets,omitempty"`
}

// TargetStatus is what a host knows of a target.
type TargetStatus struct {
	ID      topology.TargetID `json:"id"`
	Role    string            `json:"role"`
	Applied string            `json:"applied"` // position
	Lag     string            `json:"lag"`     // upper bound on the age of its data
}

// Server answers operators.
type Server struct {
	opts     Options
	draining atomic.Bool
}

// New returns a server that isn't serving yet.
func New(opts Options) *Server { return &Server{opts: opts} }

// SetDraining makes the health check fail from now on.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Serve answers on l until ctx ends, and closes it.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(limit) != nil {
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

// Handler returns the API's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /metrics", s.metrics)
	s.route(mux, "GET /v1/dump", s.dump)
	s.route(mux, "GET /v1/status", s.status)
	s.route(mux, "GET /v1/status/{kind}/{name}", s.objectStatus)
	s.route(mux, "GET /v1/usage/{name}", s.usage)
	s.route(mux, "GET /v1/{kind}", s.list)
	s.route(mux, "GET /v1/{kind}/{name}", s.get)
	s.route(mux, "PUT /v1/{kind}/{name}", s.put)
	s.route(mux, "DELETE /v1/{kind}/{name}", s.delete)
	return mux
}
