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
	defaultDeadline        = 30 * time.Second
	defaultMaxMessageBytes = 16 << 20
	defaultStartupTimeout  = 10 * time.Second
	defaultIdleTransaction = time.Minute
	defaultMaxSessions     = 10_000
)

const giveUpTimeout = 2 * lingerTimeout // for callers to be told what became of their requests

// Options are what a Server needs. Zero values of numbers and durations stand
// for their defaults.
type Options struct {
	Customers customer.View
	Router    routing.Router
	Log       logr.Logger
	Host      topology.HostID
	TokenKey  []byte      // signs session tokens, the same at every host
	Fleet     fleet.View  // nil: cancel requests for other hosts are dropped
	Peers     peer.Caller // as Fleet

	AllowTrust      bool          // let users without a verifier in
	DefaultDeadline time.Duration // of a batch whose session sets none
	MaxMessageBytes int           // of one message, and of one batch
	StartupTimeout  time.Duration // from connect to the first ReadyForQuery
	IdleTransaction time.Duration // a transaction without a statement for longer is ended
	MaxSessions     int
}

// Server serves callers' connections. Safe for concurrent use.
type Server struct {
	opts     Options
	draining chan struct{} // closed when the host leaves

	mu       sync.Mutex
	conns    map[uint32]*conn   // by cancel secret
	open     map[*conn]struct{} // all connections, those at start-up included
	listener []net.Listener
	drained  bool // draining is closed
	wait     sync.WaitGroup
}

// NewServer returns a server that has not started.
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
	if opts.IdleTransaction == 0 {
		opts.IdleTransaction = defaultIdleTransaction
	}
	if opts.MaxSessions == 0 {
		opts.MaxSessions = defaultMaxSessions
	}
	return &Server{opts: opts, draining: make(chan struct{}), conns: map[uint32]*conn{}, open: map[*conn]struct{}{}}
}

// CancelService returns the service to register with peers under ServiceName.
func (s *Server) CancelService() *CancelService { return &CancelService{srv: s} }

// Serve accepts connections until ctx ends or Drain is called, and returns
// when the last connection is over. It closes the listener. The end of ctx
// closes all connections at once.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	err := s.accept(ctx, l)
	s.wait.Wait()
	return err
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = append(s.listener, l)
	return !s.drained
}

func (s *Server) accept(ctx context.Context, l net.Listener) error {
	const pause = 10 * time.Millisecond // before another accept when files run out
	for {
		nc, err := l.Accept()
		if err == nil {
			s.start(ctx, nc)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		s.opts.Log.Error(err, "accept")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

func (s *Server) start(ctx context.Context, nc net.Conn) {
	connectionsTotal.Inc()
	c := newConn(ctx, s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained {
		c.abort()
		return
	}
	s.open[c] = struct{}{}
	full := len(s.open) > s.opts.MaxSessions
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		c.serve(full)
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
}

// Drain takes no new connection, ends idle sessions between requests, and
// waits until running requests and open transactions are finished. When ctx
// ends first, the rest is given up and ctx's error returned. A caller whose
// request is given up is told so before its connection is closed: some drivers
// repeat a request whose connection ends without an answer.
func (s *Server) Drain(ctx context.Context) error {
	s.beginDrain()
	done := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.giveUp(done)
		return ctx.Err()
	}
}

func (s *Server) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained {
		return
	}
	s.drained = true
	close(s.draining)
	for _, l := range s.listener {
		_ = l.Close()
	}
}

// giveUp ends all requests, then the connections that are left.
func (s *Server) giveUp(done <-chan struct{}) {
	s.each((*conn).stopRequests)
	select {
	case <-done:
	case <-time.After(giveUpTimeout):
		s.each((*conn).abort)
		<-done
	}
}

func (s *Server) each(do func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		do(c)
	}
}

// leaving tells whether Drain was called.
func (s *Server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// enter gives a session its cancel secret.
func (s *Server) enter(c *conn) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	secret := s.newSecret()
	s.conns[secret] = c
	sessionsNow.Inc()
	return secret
}

// leave takes the session back out, if it got as far as to enter.
func (s *Server) leave(c *conn) {
	if c.secret == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.secret)
	sessionsNow.Dec()
}
