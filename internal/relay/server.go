package relay

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// Options configures a Server.
type Options struct {
	Catalog Catalog
	Groups  Groups
	// Accept makes a caller of a connection.
	Accept func(net.Conn) Caller
	// Peers runs statements on other hosts; nil: there are none.
	Peers Peers
	Log   logr.Logger
}

// Server serves callers. Safe for concurrent use.
type Server struct {
	opts Options
	ids  atomic.Uint64

	mu       sync.Mutex
	sessions map[*session]bool

	leaving  atomic.Bool // idle sessions are closed
	cutting  atomic.Bool // open transactions are ended
	forwards *metrics.Counter
	sampler  *sampler
	hosted   *hosted
	loads    placement.Loads // of other hosts
	name     string          // of this process, unique among hosts
}

// NewServer returns a server without sessions.
func NewServer(opts Options) *Server {
	s := &Server{
		opts:     opts,
		name:     rand.Text(),
		sessions: map[*session]bool{},
		sampler:  newSampler(),
		forwards: metrics.GetOrCreateCounter("nettlewalk_statements_forwarded_total"),
	}
	s.hosted = newHosted(s)
	return s
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		socket, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.opts.Log.Error(err, "accept failed")
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(ctx, socket)
	}
}

// acceptPause follows a failed accept, most likely for want of descriptors.
const acceptPause = 20 * time.Millisecond

func (s *Server) serve(ctx context.Context, socket net.Conn) {
	session := s.newSession(s.opts.Accept(socket))
	s.mu.Lock()
	s.sessions[session] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
	}()
	session.run(ctx)
}

func (s *Server) newSession(c Caller) *session {
	state := sessionState{id: s.ids.Add(1), prepared: map[string]statement.Statement{}}
	return &session{server: s, caller: c, state: state, log: s.opts.Log, answered: time.Now()}
}

// Sessions returns how many sessions are open.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// CloseIdle closes every session between two requests, now and until it is
// called with false. It tells whether that is a change.
func (s *Server) CloseIdle(on bool) (changed bool) {
	changed = s.leaving.Swap(on) != on
	if changed && on {
		s.interrupt()
	}
	return changed
}

// CutTransactions ends the open transactions with a promise that nothing of
// them is kept.
func (s *Server) CutTransactions() {
	s.cutting.Store(true)
	s.interrupt()
}

func (s *Server) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.caller.Interrupt()
	}
}

// waitPoll is the time between looks whether all has ended.
const waitPoll = 20 * time.Millisecond

// Wait waits until no session and no transaction of another host's is open, or
// the time is up.
func (s *Server) Wait(limit time.Duration) bool {
	for end := time.Now().Add(limit); s.Sessions() > 0 || s.hosted.count() > 0; {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(waitPoll)
	}
	return true
}

const (
	// configurationWait is how long a new session may wait for the first
	// configuration after the host's start. Callers wait two seconds.
	configurationWait = 1500 * time.Millisecond
	configurationPoll = 20 * time.Millisecond // between looks meanwhile
)

// awaitConfiguration waits until a configuration is known. Without one, nobody
// can say that a database doesn't exist.
func (s *Server) awaitConfiguration() bool {
	for end := time.Now().Add(configurationWait); s.opts.Catalog.Configuration() == nil; {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(configurationPoll)
	}
	return true
}

func (s *Server) closing() bool          { return s.leaving.Load() }
func (s *Server) cutsTransactions() bool { return s.cutting.Load() }

func (s *Server) transactionIdle() time.Duration {
	if c := s.opts.Catalog.Configuration(); c != nil {
		return c.TransactionIdle
	}
	return 0
}

func (s *Server) version() uint64 {
	if c := s.opts.Catalog.Configuration(); c != nil {
		return c.Version
	}
	return 0
}
