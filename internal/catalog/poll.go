package catalog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/steady"
)

// Reads tells when the store was last read, by this host or by one that told it.
type Reads struct {
	Configuration time.Time // when the request was sent, on the steady clock
	Register      time.Time
}

// pollTick is the time between looks whether a read is due.
const pollTick = 100 * time.Millisecond

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
func (f *ConfigurationFeed) Poll(ctx context.Context, r Reader, kind string, schedule Schedule, rank func() int) {
	last := func() time.Time { return f.Store.Reads().Configuration }
	poll(ctx, schedule, last, rank, func(ctx context.Context, sent time.Time) error {
		o, err := r.Get(ctx, kind, f.Name)
		switch {
		case err == nil:
			f.take(o)
		case !isNotFound(err): // that there is none yet is news, too
			f.Log.V(1).Info("configuration not read", "error", err.Error())
			return err
		}
		f.Store.NoteReads(Reads{Configuration: sent})
		return nil
	})
}

func isNotFound(err error) bool {
	var coded *result.Error
	return errors.As(err, &coded) && coded.Code == result.NotFound
}

// Poll reads the whole register whenever it is due, until ctx ends. The watch
// goes on from the newest revision.
func (f *RegisterFeed) Poll(ctx context.Context, r Reader, kind string, schedule Schedule, rank func() int) {
	last := func() time.Time { return f.Store.Reads().Register }
	poll(ctx, schedule, last, rank, func(ctx context.Context, sent time.Time) error {
		list, err := r.List(ctx, kind)
		if err != nil {
			f.Log.V(1).Info("register not read", "error", err.Error())
			return err
		}
		f.Reset(kind, list)
		f.Store.NoteReads(Reads{Register: sent})
		return nil
	})
}

// poll reads whenever that is due, one attempt each time, until ctx ends.
func poll(ctx context.Context, schedule Schedule, last func() time.Time, rank func() int, read func(ctx context.Context, sent time.Time) error) {
	state := reader{schedule: schedule, begun: steady.Now()}
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sent := steady.Now()
		if !state.due(last(), rank(), sent) {
			continue
		}
		attempt, cancel := context.WithTimeout(platform.WithoutRetry(ctx), readTimeout)
		err := read(attempt, sent)
		cancel()
		state.ended(err == nil, steady.Now())
	}
}
