package target

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Server is one running stand-in.
type Server struct {
	cfg      Config
	node     *node
	store    *store
	listener net.Listener
	peers    net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu         sync.Mutex
	peerAddrs  map[topology.TargetID]string
	sessions   map[uint32]*session // by process id
	replicas   map[net.Conn]bool
	nextPID    uint32
	highest    int
	locks      map[int64]uint32 // advisory lock to the holder's process id
	statements map[string]uint64
	verbose    bool
}

// Start runs a server until Close.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if cfg.Dir == "" {
		return nil, errors.New("target stand-in: no directory")
	}
	s := &Server{
		cfg:        cfg,
		peerAddrs:  map[topology.TargetID]string{},
		sessions:   map[uint32]*session{},
		replicas:   map[net.Conn]bool{},
		locks:      map[int64]uint32{},
		statements: map[string]uint64{},
		verbose:    os.Getenv("STANDIN_VERBOSE") != "",
	}
	for id, addr := range cfg.Peers {
		s.peerAddrs[id] = addr
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.open(); err != nil {
		s.cancel()
		return nil, err
	}
	s.wg.Add(4)
	go s.loop(s.acceptLoop)
	go s.loop(s.acceptReplicas)
	go s.loop(s.pullLoop)
	go s.loop(s.applyLoop)
	return s, nil
}

func (s *Server) loop(f func()) {
	defer s.wg.Done()
	f()
}

// open replays the whole log before the first connection is accepted.
func (s *Server) open() (err error) {
	if s.node, err = openNode(s.cfg); err != nil {
		return err
	}
	if s.store, err = openStore(s.cfg); err != nil {
		return err
	}
	if err := replay(s.store.applier, s.store.clock, s.node.log.entries); err != nil {
		return err
	}
	s.node.applied = s.node.log.len()
	s.node.onFence = s.rollbackWrites
	s.node.onRebuild = s.rebuild
	if s.listener, err = net.Listen("tcp", s.cfg.Listen); err != nil {
		return err
	}
	if s.peers, err = net.Listen("tcp", s.cfg.PeerListen); err != nil {
		s.listener.Close()
		return err
	}
	return nil
}

// rebuild ends all readers of the old database and builds a new one from the
// log that is left. No reader sees it before it is whole: what was applied
// before and is still in the log stays visible.
func (s *Server) rebuild() error {
	s.closeReaders()
	if err := s.store.renew(); err != nil {
		return err
	}
	return replay(s.store.applier, s.store.clock, s.node.log.entries)
}

// generation tells a rebuilt database from the one before.
func (s *Server) generation() int {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.store.generation
}

// Addr returns the address of the PostgreSQL protocol.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// PeerAddr returns the address of replication.
func (s *Server) PeerAddr() string { return s.peers.Addr().String() }

// SetPeer tells where another server replicates from.
func (s *Server) SetPeer(id topology.TargetID, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerAddrs[id] = addr
}

func (s *Server) peerAddr(id topology.TargetID) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, ok := s.peerAddrs[id]
	return addr, ok
}

// SetLag changes the replica's lags.
func (s *Server) SetLag(receive, apply time.Duration) { s.node.setLag(receive, apply) }

// SetApplyLag changes how much later than received entries are seen.
func (s *Server) SetApplyLag(d time.Duration) { s.node.setApplyLag(d) }

// Status is the server's own answer about itself.
func (s *Server) Status() ctl.Status { return s.node.status() }

// Entries returns a copy of the log.
func (s *Server) Entries() []Entry {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return append([]Entry(nil), s.node.log.entries...)
}

// HighestConnections returns the highest count of simultaneous connections.
func (s *Server) HighestConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

// Close stops the server as a kill would: connections break.
func (s *Server) Close() error {
	s.cancel()
	s.listener.Close()
	s.peers.Close()
	s.closeSessions()
	s.mu.Lock()
	for conn := range s.replicas {
		conn.Close()
	}
	s.mu.Unlock()
	err := s.node.close()
	s.wg.Wait()
	s.store.applier.Close()
	return err
}

func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		sess.cancel()
		sess.conn.Close()
	}
}

// closeReaders ends all sessions for a rebuild. One whose order brought the
// rebuild about gets its answer first.
func (s *Server) closeReaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if sess.ordering {
			sess.stale = true
			continue
		}
		sess.cancel()
		sess.conn.Close()
	}
}

// rollbackWrites ends the write transactions of a server that is no longer
// the primary.
func (s *Server) rollbackWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		go sess.abortWrite()
	}
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go s.loop(func() { s.serve(conn) })
	}
}

func (s *Server) acceptReplicas() {
	for {
		conn, err := s.peers.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.replicas[conn] = true
		s.mu.Unlock()
		s.wg.Add(1)
		go s.loop(func() {
			s.serveReplica(conn)
			s.mu.Lock()
			delete(s.replicas, conn)
			s.mu.Unlock()
		})
	}
}

func (s *Server) logf(format string, args ...any) {
	if s.verbose {
		fmt.Fprintf(os.Stderr, "%s: %s\n", s.cfg.ID, fmt.Sprintf(format, args...))
	}
}
