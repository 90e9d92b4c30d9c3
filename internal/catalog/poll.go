package catalog

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/steady"
)

// Reads tells when the store was last read, by this host or by one that told
// it. Hosts read the store beside their watches, which may stop delivering events; together
// they read it once in each period, and a host that hears of no other's reads
// does so alone.
type Reads struct {
	Configuration time.Time // when the request was sent, on the steady clock
	Register      time.Time
}

const (
	// configurationPeriod is how old the newest read of the configuration may
	// grow. With gossip and the ranks it stays well below the three seconds
	// that an accepted configuration has to be in force.
	configurationPeriod = 1200 * time.Millisecond
	// registerPeriod is the same for the register. A leaving target ends seven
	// seconds after it said so.
	registerPeriod = 3 * time.Second
	// rankDelay keeps hosts from reading at once: the first does, and the
	// others only if they don't hear of it within a round of gossip.
	rankDelay = 350 * time.Millisecond
	// lastRank bounds the delay of large fleets.
	lastRank = 3
	pollTick = 100 * time.Millisecond // between looks whether a read is due
)

// due tells whether a host of the rank should read what was last read at a time.
func due(last time.Time, period time.Duration, rank int, now time.Time) bool {
	return now.Sub(last) >= period+time.Duration(min(rank, lastRank))*rankDelay
}

// NoteReads takes when another host read the store.
func (s *Store) NoteReads(r Reads) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Configuration = later(s.reads.Configuration, r.Configuration)
	s.reads.Register = later(s.reads.Register, r.Register)
}

// Reads returns when the store was last read.
func (s *Store) Reads() Reads {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reader reads the store.
type Reader interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) (platform.List, error)
}

// readTimeout bounds one read, which takes milliseconds.
const readTimeout = 700 * time.Millisecond

// Poll reads the configuration whenever it is due, until ctx ends. rank is this
// host's place among those that read.
func (f *ConfigurationFeed) Poll(ctx context.Context, r Reader, kind string, rank func() int) {
	poll(ctx, func() {
		sent := steady.Now()
		if !due(f.Store.Reads().Configuration, configurationPeriod, rank(), sent) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		o, err := r.Get(ctx, kind, f.Name)
		if err != nil {
			f.Log.V(1).Info("configuration not read", "error", err.Error())
			return
		}
		f.take(o)
		f.Store.NoteReads(Reads{Configuration: sent})
	})
}

// Poll reads the whole register whenever it is due, until ctx ends. The watch
// goes on from the newest revision.
func (f *RegisterFeed) Poll(ctx context.Context, r Reader, kind string, rank func() int) {
	poll(ctx, func() {
		sent := steady.Now()
		if !due(f.Store.Reads().Register, registerPeriod, rank(), sent) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		list, err := r.List(ctx, kind)
		if err != nil {
			f.Log.V(1).Info("register not read", "error", err.Error())
			return
		}
		f.Reset(kind, list)
		f.Store.NoteReads(Reads{Register: sent})
	})
}

// poll looks at every tick until ctx ends.
func poll(ctx context.Context, look func()) {
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			look()
		}
	}
}
