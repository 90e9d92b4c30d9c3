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
	placeInterval   = 500 * time.Millisecond // between looks at the host's own place
	understudyAfter = 6 * time.Second        // out of touch, times the understudy's number; a watch's and a pull's wait make 5 s
	understudyUntil = 5 * time.Second        // a source in touch with the platform is at most this old
)

// AddrCaller calls a service of the host at an address, before its name is known.
type AddrCaller interface {
	CallAddr(ctx context.Context, addr, method string, args, reply any) error
}

// SpreaderOptions configures a Spreader.
type SpreaderOptions struct {
	Self       topology.Host
	Store      *Store
	Client     *platform.Client
	Peers      peer.Caller // nil: this host has no peers
	Seeds      []string    // addresses of peers to begin with
	SeedCaller AddrCaller  // nil: seeds are not used
	Metrics    *metrics.Set
	Log        logr.Logger
}

// Spreader fills the store: from the platform if this host is a relay, and
// from peers. It runs until its context ends.
type Spreader struct {
	opts    SpreaderOptions
	puller  *puller
	started time.Time

	mu      sync.Mutex
	place   Place
	watches bool // whether this host watches the platform now
}

// NewSpreader returns a spreader that isn't running yet.
func NewSpreader(opts SpreaderOptions) *Spreader {
	s := &Spreader{opts: opts, place: PlaceOf(opts.Self, nil), started: time.Now()}
	s.puller = newPuller(opts, s.currentPlace)
	opts.Store.OnHosts(s.setPlace)
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

// Run spreads the configuration until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.puller.run(ctx) })
	group.Go(func() { s.watchWhenDue(ctx) })
	group.Wait()
}

// watchWhenDue watches the platform whenever that is this host's part.
func (s *Spreader) watchWhenDue(ctx context.Context) {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	tried := s.puller.firstRound
	stop := func() {}
	defer func() { stop() }()
	for {
		due := s.due()
		if due != s.watching() {
			s.setWatching(due)
			stop()
			stop = func() {}
			if due {
				stop = s.startWatching(ctx)
			}
		}
		select {
		case <-ticker.C:
		case <-tried:
			tried = nil // once
		case <-ctx.Done():
			return
		}
	}
}

// due tells whether this host is to watch the platform.
func (s *Spreader) due() bool {
	if _, known := s.opts.Store.Revision(platform.KindHost); !known {
		return s.puller.noneAnswered()
	}
	uptime := time.Since(s.started) // what was never known isn't old yet
	age := min(uptime, s.opts.Store.Age(time.Now()))
	return shouldWatch(s.currentPlace(), s.watching(), age, min(uptime, s.puller.sourceAge()))
}

// shouldWatch decides whether a host watches the platform: relays do, and
// understudies while the configuration is old; they stop once others are in
// touch with the platform again.
func shouldWatch(place Place, watching bool, age, sourceAge time.Duration) bool {
	switch {
	case place.Relay:
		return true
	case place.Understudy == 0:
		return false
	case watching:
		return sourceAge > understudyUntil
	}
	return age > time.Duration(place.Understudy)*understudyAfter
}

// startWatching follows every kind; the returned function ends it.
func (s *Spreader) startWatching(ctx context.Context) (stop func()) {
	s.opts.Log.Info("watching the platform")
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, kind := range Kinds {
		group.Go(func() { s.opts.Client.Follow(ctx, kind, s.opts.Store) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func (s *Spreader) setPlace(hosts []topology.Host) {
	place := PlaceOf(s.opts.Self, hosts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.place = place
}

func (s *Spreader) currentPlace() Place {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.place
}

func (s *Spreader) watching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *Spreader) setWatching(watches bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches = watches
}

// Health tells whether a configuration is in force, and if not, why.
func (s *Spreader) Health() (ready bool, reason string) {
	if s.opts.Store.Ready() {
		return true, ""
	}
	up, since := s.opts.Client.Up()
	if up {
		return false, "the configuration is being read"
	}
	reason = fmt.Sprintf("the platform is out of reach since %s", since.UTC().Format(time.RFC3339))
	return false, reason + "; " + s.puller.failure()
}
