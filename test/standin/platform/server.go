package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// hostKind is the kind whose lists lag.
const hostKind = "host"

// Config says where the stand-in listens.
type Config struct {
	Listen  string // address of the object API; empty: a free loopback port
	Control string // address of the control API; empty: a free loopback port
	Faults  Faults // at the start
}

// Server is a running stand-in. Safe for concurrent use.
type Server struct {
	Addr        string // of the object API
	ControlAddr string

	calls   *counter
	api     *http.Server
	control *http.Server

	mu          sync.Mutex
	collections map[string]*collection
	faults      Faults
	reads       *rate.Limiter
	writes      *rate.Limiter
	faultsNew   chan struct{} // closed and replaced when faults change
}

// Start listens and serves until Close.
func Start(cfg Config) (*Server, error) {
	s := &Server{
		calls:       newCounter(),
		collections: map[string]*collection{},
		faultsNew:   make(chan struct{}),
	}
	s.SetFaults(cfg.Faults)
	s.api = &http.Server{Handler: s.apiHandler()}
	s.control = &http.Server{Handler: s.controlHandler()}
	var err error
	if s.Addr, err = serve(s.api, cfg.Listen); err != nil {
		return nil, err
	}
	if s.ControlAddr, err = serve(s.control, cfg.Control); err != nil {
		_ = s.api.Close()
		return nil, err
	}
	return s, nil
}

func serve(server *http.Server, addr string) (string, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("platform stand-in: %w", err)
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Close ends every connection.
func (s *Server) Close() {
	_ = s.api.Close()
	_ = s.control.Close()
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults. An outage also ends the waiting watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ReadsPerSec != s.faults.ReadsPerSec || s.reads == nil {
		s.reads = limiter(f.ReadsPerSec)
	}
	if f.WritesPerSec != s.faults.WritesPerSec || s.writes == nil {
		s.writes = limiter(f.WritesPerSec)
	}
	s.faults = f
	close(s.faultsNew)
	s.faultsNew = make(chan struct{})
}

// limiter allows a second's worth of calls at once.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Change alters the faults in force.
func (s *Server) Change(alter func(*Faults)) {
	f := s.Faults()
	alter(&f)
	s.SetFaults(f)
}

// Calls returns what was counted since the start or the last reset.
func (s *Server) Calls() Calls { return s.calls.snapshot() }

// ResetCalls starts counting anew.
func (s *Server) ResetCalls() { s.calls.reset() }

// Put writes an object whatever its version, without a call, and returns it.
func (s *Server) Put(kind, name string, value any) (platform.Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object := platform.Object{Kind: kind, Name: name, Value: raw}
	return s.collection(kind).record(object, false, time.Now()), nil
}

// Delete removes an object whatever its version, without a call.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collection(kind)
	if _, ok := c.objects[name]; ok {
		c.record(platform.Object{Kind: kind, Name: name}, true, time.Now())
	}
}

// Object returns an object without a call.
func (s *Server) Object(kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.collection(kind).objects[name]
	return o, ok
}

// collection returns the kind's objects. The caller holds s.mu.
func (s *Server) collection(kind string) *collection {
	c := s.collections[kind]
	if c == nil {
		c = newCollection()
		s.collections[kind] = c
	}
	return c
}

// lag returns how late lists of the kind are. The caller holds s.mu.
func (s *Server) lag(kind string) time.Duration {
	if kind == hostKind {
		return s.faults.HostLag
	}
	return 0
}

// reachable waits out a silent outage and the delay; false means that the
// request gets no answer.
func (s *Server) reachable(ctx context.Context) bool {
	for {
		s.mu.Lock()
		f, changed := s.faults, s.faultsNew
		s.mu.Unlock()
		switch f.Outage {
		case OutageNone:
			return pause(ctx, f.Delay)
		case OutageSilent:
			select {
			case <-changed:
			case <-ctx.Done():
				return false
			}
		default:
			return false
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
