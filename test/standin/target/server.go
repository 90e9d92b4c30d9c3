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

// Server is a running stand-in database server.
type Server struct {
	cfg          Config
	node         *node
	store        *store
	listener     net.Listener
	peerListener net.Listener
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu              sync.Mutex
	peerAddrs       map[topology.TargetID]string
	sessions        map[uint32]*session // by process ID
	replicaConns    map[net.Conn]bool
	nextPID         uint32
	peakConnections int
	locks           map[int64]uint32 // process ID of the holder of each advisory lock
	statements      map[string]uint64
	verbose         bool
}

// Start starts a server, which runs until Close.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	if cfg.Dir == "" {
		return nil, errors.New("target stand-in: Config.Dir is empty")
	}
	s := &Server{
		cfg:          cfg,
		peerAddrs:    map[topology.TargetID]string{},
		sessions:     map[uint32]*session{},
		replicaConns: map[net.Conn]bool{},
		locks:        map[int64]uint32{},
		statements:   map[string]uint64{},
		verbose:      os.Getenv("STANDIN_VERBOSE") != "",
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
	go s.runTracked(s.acceptLoop)
	go s.runTracked(s.acceptReplicaLoop)
	go s.runTracked(s.replicationLoop)
	go s.runTracked(s.applyLoop)
	return s, nil
}

// runTracked runs task and then marks one goroutine of s.wg as done; Close
// waits for all of them.
func (s *Server) runTracked(task func()) {
	defer s.wg.Done()
	task()
}

// open replays the whole log before the server accepts connections.
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
	s.node.applied = s.node.log.length()
	s.node.onFence = s.abortWrites
	s.node.onRebuild = s.rebuild
	if s.listener, err = net.Listen("tcp", s.cfg.Listen); err != nil {
		return err
	}
	if s.peerListener, err = net.Listen("tcp", s.cfg.PeerListen); err != nil {
		s.listener.Close()
		return err
	}
	return nil
}

// rebuild closes the sessions of the old database and builds a new one from
// the remaining log. The database becomes visible only when it is complete, so
// entries that were applied before and are still in the log stay visible.
func (s *Server) rebuild() error {
	s.closeSessionsForRebuild()
	if err := s.store.reset(); err != nil {
		return err
	}
	return replay(s.store.applier, s.store.clock, s.node.log.entries)
}

// generation returns a number that changes with each rebuild of the database.
func (s *Server) generation() int {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.store.generation
}

// Addr returns the address of the PostgreSQL protocol.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// PeerAddr returns the address of the replication protocol.
func (s *Server) PeerAddr() string { return s.peerListener.Addr().String() }

// SetPeer sets the replication address of another server.
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

// SetLag sets the receive lag and the apply lag, which take effect on a
// replica.
func (s *Server) SetLag(receive, apply time.Duration) { s.node.setLag(receive, apply) }

// SetApplyLag sets the delay between receiving and applying an entry.
func (s *Server) SetApplyLag(d time.Duration) { s.node.setApplyLag(d) }

// Status returns the server's role, term and log positions.
func (s *Server) Status() ctl.Status { return s.node.status() }

// Entries returns a copy of the log.
func (s *Server) Entries() []Entry {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return append([]Entry(nil), s.node.log.entries...)
}

// HighestConnections returns the peak number of simultaneous connections.
func (s *Server) HighestConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConnections
}

// Close stops the server like a process kill: connections are dropped without
// notice.
func (s *Server) Close() error {
	s.cancel()
	s.listener.Close()
	s.peerListener.Close()
	s.closeSessions()
	s.mu.Lock()
	for conn := range s.replicaConns {
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

// closeSessionsForRebuild closes all sessions before a rebuild. A session that
// is executing a role change receives its response first.
func (s *Server) closeSessionsForRebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if sess.roleChangePending {
			sess.databaseReplaced = true
			continue
		}
		sess.cancel()
		sess.conn.Close()
	}
}

// abortWrites rolls back the open write transactions after the server stopped
// being the primary.
func (s *Server) abortWrites() {
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
		go s.runTracked(func() { s.serveConn(conn) })
	}
}

func (s *Server) acceptReplicaLoop() {
	for {
		conn, err := s.peerListener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.replicaConns[conn] = true
		s.mu.Unlock()
		s.wg.Add(1)
		go s.runTracked(func() {
			s.serveReplica(conn)
			s.mu.Lock()
			delete(s.replicaConns, conn)
			s.mu.Unlock()
		})
	}
}

func (s *Server) logf(format string, args ...any) {
	if s.verbose {
		fmt.Fprintf(os.Stderr, "%s: %s\n", s.cfg.ID, fmt.Sprintf(format, args...))
	}
}
