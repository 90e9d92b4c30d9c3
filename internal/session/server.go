package session

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Defaults of Options.
const (
	defaultDeadline               = 30 * time.Second
	defaultMaxMessageBytes        = 16 << 20
	defaultStartupTimeout         = 10 * time.Second
	defaultIdleTransactionTimeout = time.Minute
	defaultMaxSessions            = 10_000
)

const abortTimeout = 2 * lingerTimeout // for clients to receive the errors of aborted requests

// Options configures a Server. Zero values of numbers and durations select the
// defaults.
type Options struct {
	Customers customer.View
	Router    routing.Router
	Log       logr.Logger
	Host      topology.HostID
	TokenKey  []byte      // signs session tokens; must be the same on every host
	Fleet     fleet.View  // if nil, cancel requests for other hosts are dropped
	Peers     peer.Caller // if nil, cancel requests for other hosts are dropped

	AllowTrust             bool          // accept users without a password verifier
	DefaultDeadline        time.Duration // deadline of a batch if its session sets none
	MaxMessageBytes        int           // limit for one message and for one batch
	StartupTimeout         time.Duration // limit from accept to the first ReadyForQuery
	IdleTransactionTimeout time.Duration // a transaction without a statement for longer is rolled back
	MaxSessions            int           // limit for open connections
	// RetryTimes gives refusals without a hint one, if waiting helps.
	RetryTimes bool
}

// Server serves client connections. It is safe for concurrent use.
type Server struct {
	opts      Options
	draining  chan struct{} // closed by Drain
	hintPacer hintPacer

	mu            sync.Mutex
	connsBySecret map[uint32]*conn   // accepted sessions by cancel secret
	openConns     map[*conn]struct{} // all connections, including those in startup
	listeners     []net.Listener
	drainStarted  bool // whether Drain was called
	connGroup     sync.WaitGroup
}

// NewServer returns a server. Call Serve to accept connections.
func NewServer(opts Options) *Server {
	if opts.DefaultDeadline == 0 {
		opts.DefaultDeadline = defaultDeadline
	}
	if opts.MaxMessageBytes == 0 {
		opts.MaxMessageBytes = defaultMaxMessageBytes
	}
	if opts.StartupTimeout == 0 {
		opts.StartupTimeout = defaultStartupTimeout
	}
	if opts.IdleTransactionTimeout == 0 {
		opts.IdleTransactionTimeout = defaultIdleTransactionTimeout
	}
	if opts.MaxSessions == 0 {
		opts.MaxSessions = defaultMaxSessions
	}
	return &Server{opts: opts, draining: make(chan struct{}), connsBySecret: map[uint32]*conn{}, openConns: map[*conn]struct{}{}}
}

// CancelService returns the RPC service to register under ServiceName.
func (s *Server) CancelService() *CancelService { return &CancelService{srv: s} }

// Serve accepts connections until ctx ends or Drain is called. It closes the
// listener and returns after the last connection has ended. When ctx ends, all
// connections are closed at once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.addListener(listener) {
		return listener.Close()
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := s.acceptLoop(ctx, listener)
	s.connGroup.Wait()
	return err
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
	return !s.drainStarted
}

func (s *Server) acceptLoop(ctx context.Context, listener net.Listener) error {
	const retryDelay = 10 * time.Millisecond // after a failed accept, for example when file descriptors run out
	for {
		netConn, err := listener.Accept()
		if err == nil {
			s.startConn(ctx, netConn)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		s.opts.Log.Error(err, "accept")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retryDelay):
		}
	}
}

func (s *Server) startConn(ctx context.Context, netConn net.Conn) {
	connectionsTotal.Inc()
	c := newConn(ctx, s, netConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainStarted {
		c.abort()
		return
	}
	s.openConns[c] = struct{}{}
	hostFull := len(s.openConns) > s.opts.MaxSessions
	s.connGroup.Add(1)
	go func() {
		defer s.connGroup.Done()
		c.serve(hostFull)
		s.mu.Lock()
		delete(s.openConns, c)
		s.mu.Unlock()
	}()
}

// Drain stops accepting connections, closes sessions outside a transaction once
// no request runs, and waits for running requests and open transactions to
// finish. If ctx ends first, Drain aborts the remaining requests and returns
// ctx's error. The client of an aborted request receives an error before its
// connection is closed, because some drivers repeat a request whose connection
// ends without a response.
func (s *Server) Drain(ctx context.Context) error {
	s.beginDrain()
	allClosed := make(chan struct{})
	go func() {
		s.connGroup.Wait()
		close(allClosed)
	}()
	select {
	case <-allClosed:
		return nil
	case <-ctx.Done():
		s.abortRemaining(allClosed)
		return ctx.Err()
	}
}

func (s *Server) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainStarted {
		return
	}
	s.drainStarted = true
	// Closed first: a caller that is sent away must not be accepted here again.
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	close(s.draining)
}

// abortRemaining aborts all requests, then closes the remaining connections.
func (s *Server) abortRemaining(allClosed <-chan struct{}) {
	s.forEachConn((*conn).abortRequests)
	select {
	case <-allClosed:
	case <-time.After(abortTimeout):
		s.forEachConn((*conn).abort)
		<-allClosed
	}
}

func (s *Server) forEachConn(visit func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.openConns {
		visit(c)
	}
}

// isDraining reports whether Drain was called.
func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainStarted
}

// register adds an accepted session and returns its cancel secret.
func (s *Server) register(c *conn) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	secret := s.newCancelSecret()
	s.connsBySecret[secret] = c
	activeSessions.Inc()
	return secret
}

// unregister removes a session if it was registered.
func (s *Server) unregister(c *conn) {
	if c.secret == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connsBySecret, c.secret)
	activeSessions.Dec()
}
