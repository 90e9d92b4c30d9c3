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

	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/quota"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Options configures a Server.
type Options struct {
	Catalog Catalog
	Groups  Groups
	// Accept returns the Caller for a new connection.
	Accept func(net.Conn) Caller
	// Peers runs statements on other hosts; nil if there are none.
	Peers Peers
	// Commits makes sure that promotions keep acknowledged commits; nil: they are passed on
	// at once.
	Commits Confirmations
	// Revocation and ConfirmedAt decide how far keys are trusted. ConfirmedAt returns when
	// the configuration was last confirmed to be the newest, on the steady clock; nil:
	// always.
	Revocation  keys.Policy
	ConfirmedAt func() time.Time
	// Homes returns the order in which the holders of a group's connections serve a
	// customer, without an entry if there is none. It may be nil.
	Homes func(topology.GroupID, topology.CustomerID) share.Homes
	// Self is the ID of this host in the results of Homes.
	Self topology.HostID
	// Locality decides about work that crosses failure domains; nil if nothing does.
	Locality *locality.Router
	// Quota limits the rate of each customer's operations; nil: rates aren't limited.
	Quota *quota.Quota
	// RetryBudget tells whether the retry budget is in force; nil: never. Hosts returns how
	// many hosts this host sees; nil: only itself.
	RetryBudget func() bool
	Hosts       func() int
	// RetryTimes decides whether refused callers are told when to return.
	RetryTimes RetryTimes
	Log        logr.Logger
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opts   Options
	lastID atomic.Uint64 // of sessions and of transactions begun on other hosts

	mu       sync.Mutex
	sessions map[*session]bool

	draining          atomic.Int32              // a DrainReason
	aborting          atomic.Bool               // open transactions are aborted, and new operations refused
	shuttingDownSince atomic.Pointer[time.Time] // package steady; nil: the host doesn't shut down
	forwardedCounter  *metrics.Counter
	sampler           *lineSampler
	keySampler        *lineSampler // of refusals because of a key
	retrySampler      *lineSampler // of retry times
	retrySchedules    retrySchedules
	trust             trustState
	forwardedTxs      *txTable
	peerLoads         placement.Loads // reported by other hosts
	wire              wireMeter
	retries           *retryBudget
	instanceID        string // unique to this process among all hosts
}

// NewServer returns a server without sessions.
func NewServer(opts Options) *Server {
	s := &Server{
		opts:             opts,
		instanceID:       rand.Text(),
		sessions:         map[*session]bool{},
		sampler:          newLineSampler(),
		keySampler:       newLineSampler(),
		retrySampler:     newLineSampler(),
		forwardedCounter: metrics.GetOrCreateCounter("nettlewalk_statements_forwarded_total"),
	}
	s.forwardedTxs = newTxTable(s)
	s.retries = newRetryBudget(&s.opts)
	return s
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.opts.Log.Error(err, "accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveConn(ctx, conn)
	}
}

// acceptRetryDelay follows a failed accept, most likely caused by a lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	session := s.newSession(s.opts.Accept(conn))
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
	state := sessionState{id: s.lastID.Add(1), prepared: map[string]statement.Statement{}}
	return &session{server: s, caller: c, state: state, log: s.opts.Log, lastAnswerAt: time.Now()}
}

// Sessions returns how many sessions are open.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// DrainReason tells why a server drains.
type DrainReason int32

// The reasons to drain.
const (
	NotDraining  DrainReason = iota // idle sessions stay open
	ShuttingDown                    // the host is about to stop
	Isolated                        // the host can't serve most requests, others probably can
)

// SetDraining starts draining for a reason, or stops it with NotDraining. While
// draining, the server closes every session that is between two requests and has no
// open transaction. SetDraining reports whether the call changed the state.
func (s *Server) SetDraining(reason DrainReason) (changed bool) {
	if reason == ShuttingDown {
		s.noteShuttingDown()
	}
	changed = s.draining.Swap(int32(reason)) != int32(reason)
	if changed && reason != NotDraining {
		s.interruptSessions()
	}
	return changed
}

// AbortTransactions aborts the open transactions and refuses new operations. Their callers
// get a guarantee that nothing of them is kept.
func (s *Server) AbortTransactions() {
	s.aborting.Store(true)
	s.interruptSessions()
}

func (s *Server) interruptSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.caller.Interrupt()
	}
}

// drainPollInterval is the time between the checks of WaitDrained.
const drainPollInterval = 20 * time.Millisecond

// WaitDrained waits until no session and no transaction of another host is open. It
// returns false if the timeout passes first.
func (s *Server) WaitDrained(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); s.Sessions() > 0 || s.forwardedTxs.count() > 0; {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}

const (
	// configurationTimeout is how long a new session waits for the first
	// configuration after the host's start. Callers wait two seconds.
	configurationTimeout      = 1500 * time.Millisecond
	configurationPollInterval = 20 * time.Millisecond // between checks
)

// awaitConfiguration waits until a configuration is known. Without one, the server
// can't tell that a database doesn't exist. It returns false on a timeout.
func (s *Server) awaitConfiguration() bool {
	for deadline := time.Now().Add(configurationTimeout); s.opts.Catalog.Configuration() == nil; {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(configurationPollInterval)
	}
	return true
}

func (s *Server) drainReason() DrainReason { return DrainReason(s.draining.Load()) }
func (s *Server) isDraining() bool         { return s.drainReason() != NotDraining }
func (s *Server) abortsTransactions() bool { return s.aborting.Load() }

func (s *Server) transactionIdleTimeout() time.Duration {
	if c := s.opts.Catalog.Configuration(); c != nil {
		return c.TransactionIdle
	}
	return 0
}

func (s *Server) configurationVersion() uint64 {
	if c := s.opts.Catalog.Configuration(); c != nil {
		return c.Version
	}
	return 0
}
