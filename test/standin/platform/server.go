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

// hostKind is the object kind whose lists lag behind changes.
const hostKind = "host"

// Config sets the listen addresses and the initial faults.
type Config struct {
	Listen  string // address of the object API; empty means a free loopback port
	Control string // address of the control API; empty means a free loopback port
	Faults  Faults // faults at the start
}

// Server is a running stand-in. It is safe for concurrent use.
type Server struct {
	Addr        string // address of the object API
	ControlAddr string

	callCounts *callCounter
	api        *http.Server
	control    *http.Server

	mu            sync.Mutex
	collections   map[string]*collection
	faults        Faults
	reads         *rate.Limiter
	writes        *rate.Limiter
	faultsChanged chan struct{} // closed and replaced when the faults change
	era           uint64        // number of restores from a copy
	raw           rawValues
}

// Start starts both APIs, which are served until Close.
func Start(cfg Config) (*Server, error) {
	s := &Server{
		callCounts:    newCallCounter(),
		collections:   map[string]*collection{},
		faultsChanged: make(chan struct{}),
	}
	s.SetFaults(cfg.Faults)
	s.api = &http.Server{Handler: s.apiHandler()}
	s.control = &http.Server{Handler: s.controlHandler()}
	var err error
	if s.Addr, err = listenAndServe(s.api, cfg.Listen); err != nil {
		return nil, err
	}
	if s.ControlAddr, err = listenAndServe(s.control, cfg.Control); err != nil {
		_ = s.api.Close()
		return nil, err
	}
	return s, nil
}

func listenAndServe(server *http.Server, addr string) (string, error) {
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

// Close closes both listeners and every connection.
func (s *Server) Close() {
	_ = s.api.Close()
	_ = s.control.Close()
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the current faults. An outage also interrupts waiting
// watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ReadsPerSec != s.faults.ReadsPerSec || s.reads == nil {
		s.reads = newLimiter(f.ReadsPerSec)
	}
	if f.WritesPerSec != s.faults.WritesPerSec || s.writes == nil {
		s.writes = newLimiter(f.WritesPerSec)
	}
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// newLimiter returns a limiter with a burst of one second's worth of calls. A
// rate of 0 means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// UpdateFaults updates the current faults.
func (s *Server) UpdateFaults(update func(*Faults)) {
	f := s.Faults()
	update(&f)
	s.SetFaults(f)
}

// Calls returns the call counts since the start or the last reset.
func (s *Server) Calls() Calls { return s.callCounts.snapshot() }

// ResetCalls sets the call counts to zero.
func (s *Server) ResetCalls() { s.callCounts.reset() }

// Put writes an object regardless of its version and returns it. The write is
// not counted as a call.
func (s *Server) Put(kind, name string, value any) (platform.Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object := platform.Object{Kind: kind, Name: name, Value: raw}
	return s.collection(kind).recordChange(object, false, time.Now()), nil
}

// Delete removes an object regardless of its version. The removal is not
// counted as a call.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collection(kind)
	if _, ok := c.objects[name]; ok {
		c.recordChange(platform.Object{Kind: kind, Name: name}, true, time.Now())
	}
}

// Object returns an object. The read is not counted as a call.
func (s *Server) Object(kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.collection(kind).objects[name]
	return o, ok
}

// collection returns the objects of a kind. The caller holds s.mu.
func (s *Server) collection(kind string) *collection {
	c := s.collections[kind]
	if c == nil {
		c = newCollection()
		s.collections[kind] = c
	}
	return c
}

// listLag returns how far lists of the kind lag behind changes. The caller
// holds s.mu.
func (s *Server) listLag(kind string) time.Duration {
	if kind == hostKind {
		return s.faults.HostLag
	}
	return 0
}

// awaitReachable blocks during a silent outage and then for the configured
// delay. It returns false if the request must get no response.
func (s *Server) awaitReachable(ctx context.Context) bool {
	for {
		s.mu.Lock()
		f, faultsChanged := s.faults, s.faultsChanged
		s.mu.Unlock()
		switch f.Outage {
		case OutageNone:
			return sleep(ctx, f.Delay)
		case OutageSilent:
			select {
			case <-faultsChanged:
			case <-ctx.Done():
				return false
			}
		default:
			return false
		}
	}
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
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
