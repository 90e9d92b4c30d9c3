package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServerIdleTimeout is how long a server keeps a connection on which no data
// arrives. A request that is delayed for longer never reaches a service.
const ServerIdleTimeout = 60 * time.Second

// Server serves the calls of other hosts. It implements Registrar.
type Server struct {
	key  []byte
	self topology.HostID
	log  logr.Logger
	rpc  *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup // serveConn goroutines
}

// NewServer returns a Server without registered services.
func NewServer(key []byte, self topology.HostID, log logr.Logger) *Server {
	s := &Server{key: key, self: self, log: log, rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(heartbeatService, &heartbeat{}); err != nil {
		panic(err) // can't happen: heartbeat has a valid RPC method
	}
	return s
}

// Register implements Registrar. It must be called before Serve.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "register peer service %s", name)
}

// Serve accepts connections until ctx ends, Close is called or the listener fails.
// It closes the listener when it returns.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	stopListener := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stopListener()
	defer l.Close()
	for {
		conn, err := l.Accept()
		if err != nil {
			return s.acceptError(ctx, err)
		}
		if !s.trackConn(conn) {
			_ = conn.Close()
			return nil
		}
		go s.serveConn(conn)
	}
}

// acceptError returns nil if Accept failed because the server is being closed.
func (s *Server) acceptError(ctx context.Context, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "accept peer connection")
}

// Close closes every connection and waits for its handshakes and calls to end.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// trackConn adds a connection to those that Close ends. It returns false if the
// server is already closed.
func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) untrackConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.wg.Done()
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.untrackConn(conn)
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return
	}
	id, err := serverHandshake(conn, s.key)
	if err != nil {
		handshakesRefused.Inc()
		s.log.Info("peer handshake refused", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	s.log.V(1).Info("peer connected", "peer", id)
	s.rpc.ServeConn(newCountedConn(conn, ServerIdleTimeout))
}
