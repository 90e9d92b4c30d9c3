package customer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	roleCheckInterval = 500 * time.Millisecond // between checks whether the host has to watch the platform
	standbyStartAge   = 6 * time.Second        // standby n starts watching at n times this configuration age; a watch wait plus a pull wait take 5 s
	standbyStopAge    = 5 * time.Second        // upper bound of the age of a source that is connected to the platform
)

// AddrCaller calls a service at an address, for hosts whose ID is not known
// yet.
type AddrCaller interface {
	CallAddr(ctx context.Context, addr, method string, args, reply any) error
}

// SyncerOptions configures a Syncer.
type SyncerOptions struct {
	Self       topology.Host
	Store      *Store
	Client     *platform.Client
	Peers      peer.Caller // nil: the host has no peers
	Seeds      []string    // addresses of the peers to start from
	SeedCaller AddrCaller  // nil: seeds are ignored
	Metrics    *metrics.Set
	Log        logr.Logger
}

// Syncer keeps the store up to date: from the platform while this host acts
// as a relay, and from peers.
type Syncer struct {
	opts    SyncerOptions
	puller  *puller
	started time.Time

	mu         sync.Mutex
	role       TreeRole
	isWatching bool // whether this host watches the platform
}

// NewSyncer returns a Syncer that is not running yet.
func NewSyncer(opts SyncerOptions) *Syncer {
	s := &Syncer{opts: opts, role: TreeRoleOf(opts.Self, nil), started: time.Now()}
	s.puller = newPuller(opts, s.currentRole)
	opts.Store.OnHostsChange(s.updateRole)
	if opts.Metrics != nil {
		opts.Metrics.NewGauge("nettlewalk_config_relay", func() float64 {
			if s.watching() {
				return 1
			}
			return 0
		})
	}
	return s
}

// Run keeps the store up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.puller.run(ctx) })
	wg.Go(func() { s.manageWatch(ctx) })
	wg.Wait()
}

// manageWatch starts and stops watching the platform as the role of this host
// requires.
func (s *Syncer) manageWatch(ctx context.Context) {
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	firstRound := s.puller.firstRound
	stop := func() {}
	defer func() { stop() }()
	for {
		want := s.watchNeeded()
		if want != s.watching() {
			s.setWatching(want)
			stop()
			stop = func() {}
			if want {
				stop = s.startWatching(ctx)
			}
		}
		select {
		case <-ticker.C:
		case <-firstRound:
			firstRound = nil // the channel is closed: receive only once
		case <-ctx.Done():
			return
		}
	}
}

// watchNeeded reports whether this host has to watch the platform. While the
// list of hosts is unknown, it has to once a round over all peers got no response.
func (s *Syncer) watchNeeded() bool {
	if _, known := s.opts.Store.Revision(platform.KindHost); !known {
		return s.puller.noneAnswered()
	}
	uptime := time.Since(s.started) // no age exceeds the uptime, not even before the first read
	age := min(uptime, s.opts.Store.Age(time.Now()))
	return shouldWatch(s.currentRole(), s.watching(), age, min(uptime, s.puller.sourceAge()))
}

// shouldWatch reports whether a host with the role has to watch the platform.
// Relays always do. Standbys start when their configuration is outdated and
// stop when a source is connected to the platform again.
func shouldWatch(role TreeRole, watching bool, age, sourceAge time.Duration) bool {
	switch {
	case role.Relay:
		return true
	case role.Standby == 0:
		return false
	case watching:
		return sourceAge > standbyStopAge
	}
	return age > time.Duration(role.Standby)*standbyStartAge
}

// startWatching watches every kind at the platform until the returned function
// is called.
func (s *Syncer) startWatching(ctx context.Context) (stop func()) {
	s.opts.Log.Info("watching the platform")
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, kind := range Kinds {
		wg.Go(func() { s.opts.Client.Follow(ctx, kind, s.opts.Store) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// updateRole recomputes the role after a change of the list of hosts.
func (s *Syncer) updateRole(hosts []topology.Host) {
	role := TreeRoleOf(s.opts.Self, hosts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = role
}

func (s *Syncer) currentRole() TreeRole {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

func (s *Syncer) watching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isWatching
}

func (s *Syncer) setWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isWatching = watching
}

// Health reports whether a complete configuration is loaded, and if not, the
// reason.
func (s *Syncer) Health() (ready bool, reason string) {
	if s.opts.Store.Ready() {
		return true, ""
	}
	up, since := s.opts.Client.Reachable()
	if up {
		return false, "the configuration is loading"
	}
	reason = fmt.Sprintf("platform unreachable since %s", since.UTC().Format(time.RFC3339))
	return false, reason + "; " + s.puller.failureReason()
}
