package catalog

import (
	"context"
	"math/rand/v2"
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
)

const (
	// configurationPolls is how often a second all hosts together read the
	// configuration beside their watches, which may go deaf. An accepted
	// configuration has three seconds to be in force.
	configurationPolls = 1.0
	// registerPolls is the same for the register. A leaving target ends some
	// seconds after it said so.
	registerPolls = 0.4
	// shortestPoll and longestPoll bound one host's interval, in small and in large fleets.
	shortestPoll = 1 * time.Second
	longestPoll  = 60 * time.Second
)

// pollInterval returns how often one of so many hosts reads, for a rate of the
// whole fleet.
func pollInterval(hosts int, perSecond float64) time.Duration {
	d := time.Duration(float64(max(hosts, 1)) / perSecond * float64(time.Second))
	return min(max(d, shortestPoll), longestPoll)
}

// Reader reads the store.
type Reader interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) (platform.List, error)
}

// Poll reads the configuration now and then until ctx ends.
func (f *ConfigurationFeed) Poll(ctx context.Context, r Reader, kind string, hosts func() int) {
	for pause(ctx, pollInterval(hosts(), configurationPolls)) {
		o, err := r.Get(ctx, kind, f.Name)
		if err != nil {
			f.Log.V(1).Info("configuration not read", "error", err.Error())
			continue
		}
		f.take(o)
	}
}

// Poll reads the whole register now and then until ctx ends. What it finds is
// offered; the watch goes on from its own revision.
func (f *RegisterFeed) Poll(ctx context.Context, r Reader, kind string, hosts func() int) {
	for pause(ctx, pollInterval(hosts(), registerPolls)) {
		list, err := r.List(ctx, kind)
		if err != nil {
			f.Log.V(1).Info("register not read", "error", err.Error())
			continue
		}
		f.Reset(kind, list)
	}
}

// pause waits about so long, so that hosts started together spread out. It
// returns false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
