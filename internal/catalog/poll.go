package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/steady"
)

// ReadTimes holds the times of the newest reads of the store that this host knows
// of. Another host may have made them.
type ReadTimes struct {
	Configuration time.Time // when the request was sent, on the steady clock
	Registry      time.Time // likewise, for the target registry
}

// pollCheckInterval is the time between checks whether a read is due.
const pollCheckInterval = 100 * time.Millisecond

// RecordReadTimes records read times of this host or another one, unless newer times
// are known.
func (s *Store) RecordReadTimes(r ReadTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Configuration = later(s.reads.Configuration, r.Configuration)
	s.reads.Registry = later(s.reads.Registry, r.Registry)
}

// ReadTimes returns the times of the newest known reads of the store.
func (s *Store) ReadTimes() ReadTimes {
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

// StoreReader reads objects from the platform's store.
type StoreReader interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) (platform.List, error)
}

// readTimeout is how long a read may get no data. It normally ends within milliseconds,
// but a large answer takes long over a slow link.
const readTimeout = 700 * time.Millisecond

// Poll reads the configuration whenever a read is due, until ctx ends. rank
// returns this host's rank among the hosts that read the store.
func (f *ConfigurationFeed) Poll(ctx context.Context, r StoreReader, kind string, schedule Schedule, rank func() int) {
	poll(ctx, schedule, f.lastRead, rank, func(ctx context.Context, sent time.Time) error {
		before := f.newestReceived()
		o, err := r.Get(ctx, kind, f.Name)
		switch {
		case err == nil:
			if position := (StorePosition{o.Era, o.Version}); before.After(position) {
				f.Log.Info("ignoring outdated read of the configuration", "revision", position.Revision, "era", position.Era,
					"received_before", before.Revision)
				return errOutdatedRead
			}
			if version := f.applyObject(o, o.Era); version > 0 {
				f.Store.RecordConfirmation(version, sent)
			}
		case isNotFound(err): // a missing configuration is also a valid answer
			f.Store.RecordConfirmation(0, sent)
		default:
			f.Log.V(1).Info("failed to read configuration from store", "error", err.Error())
			return err
		}
		f.mu.Lock()
		f.ownRead = sent
		f.mu.Unlock()
		f.Store.RecordReadTimes(ReadTimes{Configuration: sent})
		return nil
	})
}

// lastRead returns when the newest known read of the configuration was sent. Reads by
// others don't count while this host has a configuration without its customers, which only
// the store can complete.
func (f *ConfigurationFeed) lastRead() time.Time {
	if c := f.Store.Configuration(); c != nil && !c.CustomersKnown {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.ownRead
	}
	return f.Store.ReadTimes().Configuration
}

// errOutdatedRead reports that the store returned an object older than one that it had
// returned before the request was sent, without having come back from an older copy. Such
// a read doesn't count as one: it doesn't show that there is nothing newer.
var errOutdatedRead = errors.New("the store returned an outdated object")

func isNotFound(err error) bool {
	var resultErr *result.Error
	return errors.As(err, &resultErr) && resultErr.Code == result.NotFound
}

// Poll reads the whole registry whenever a read is due, until ctx ends. The
// watch then continues from the newest revision. rank returns this host's rank
// among the hosts that read the store.
func (f *RegistryFeed) Poll(ctx context.Context, r StoreReader, kind string, schedule Schedule, rank func() int) {
	lastRead := func() time.Time { return f.Store.ReadTimes().Registry }
	poll(ctx, schedule, lastRead, rank, func(ctx context.Context, sent time.Time) error {
		return f.read(ctx, r, kind, sent)
	})
}

// Read reads the whole registry once, without retries.
func (f *RegistryFeed) Read(ctx context.Context, r StoreReader, kind string) error {
	return f.read(platform.WithoutRetry(ctx), r, kind, steady.Now())
}

func (f *RegistryFeed) read(ctx context.Context, r StoreReader, kind string, sent time.Time) error {
	f.mu.Lock()
	before := f.position
	f.mu.Unlock()
	list, err := r.List(ctx, kind)
	if err != nil {
		f.Log.V(1).Info("failed to read target registry from store", "error", err.Error())
		return err
	}
	f.Reset(kind, list)
	if position := (StorePosition{list.Era, list.Revision}); !before.After(position) { // not an outdated read
		f.Store.RecordRegistryConfirmation(position, sent)
	}
	f.Store.RecordReadTimes(ReadTimes{Registry: sent})
	return nil
}

// poll calls read once each time a read is due, without retries, until ctx
// ends.
func poll(ctx context.Context, schedule Schedule, lastRead func() time.Time, rank func() int, read func(ctx context.Context, sent time.Time) error) {
	scheduler := readScheduler{schedule: schedule, startedAt: steady.Now()}
	readCtx := platform.WithCallTimeout(platform.WithoutRetry(ctx), readTimeout)
	ticker := time.NewTicker(pollCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sent := steady.Now()
		if !scheduler.due(lastRead(), rank(), sent) {
			continue
		}
		err := read(readCtx, sent)
		scheduler.recordRead(err == nil, sent, steady.Now())
	}
}
