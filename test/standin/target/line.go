package target

import (
	"fmt"
	"net"
	"sync"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// LineConfig configures the line protocol of the users' platform, which a
// server can offer in addition to the PostgreSQL protocol.
type LineConfig struct {
	Group          string // group name that a START message must carry
	MaxConnections int    // connection limit; 0 means 16
	// Received reports whether enough replicas have received a position. A commit
	// is acknowledged only after that. If Received is nil, commits are
	// acknowledged immediately.
	Received func(topology.Position) bool
	// Demoted makes the server a replica of the present primary, after a DEMOTE of a
	// primary of a lower term. If Demoted is nil, DEMOTE has no effect.
	Demoted func()
	// KnowsCustomer reports whether the name in a START message may be given. Others are
	// refused. If it is nil, any name may be given.
	KnowsCustomer func(name string) bool
	// IsKey reports whether a word is the key of a customer, which no target may see. Nil:
	// there are no keys.
	IsKey func(word string) bool
}

// Line serves the line protocol on the server's database, log and role.
type Line struct {
	srv      *Server
	cfg      LineConfig
	listener net.Listener

	mu         sync.Mutex
	conns      map[net.Conn]bool
	pausedTerm uint64
	runCounts  map[string]int             // executions by request ID
	customers  map[string]map[string]bool // names given at START of the connections that ran a request ID
	refused    []string                   // START messages with an unknown name
	keysSeen   []string                   // messages that contained a key
	open       map[string]int             // open connections by the customer named at START
	overLimit  int                        // connections that were refused because of the limit
}

// ServeLine starts the line protocol on a free loopback port. Line.Close drops
// its connections as a crash would.
func (s *Server) ServeLine(cfg LineConfig) (*Line, error) {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	l := &Line{srv: s, cfg: cfg, listener: listener, conns: map[net.Conn]bool{}, runCounts: map[string]int{}, customers: map[string]map[string]bool{}, open: map[string]int{}}
	go l.acceptLoop()
	return l, nil
}

// Addr returns the listen address of the line protocol.
func (l *Line) Addr() string { return l.listener.Addr().String() }

// Close closes the listener and every connection.
func (l *Line) Close() {
	l.listener.Close()
	l.closeConns()
}

func (l *Line) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

func (l *Line) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[conn] = true
		overLimit := len(l.conns) > l.cfg.MaxConnections
		if overLimit {
			l.overLimit++
		}
		l.mu.Unlock()
		go func() {
			if overLimit {
				fmt.Fprintf(conn, "ERROR TOOMANY -\r\n")
			} else {
				l.serveConn(conn)
			}
			conn.Close()
			l.mu.Lock()
			delete(l.conns, conn)
			l.mu.Unlock()
		}()
	}
}

// RefusedAboveLimit returns how many connections were refused because of the limit.
func (l *Line) RefusedAboveLimit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overLimit
}
