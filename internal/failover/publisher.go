package failover

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	publishTimeout        = 2 * time.Second
	publishInitialBackoff = 100 * time.Millisecond
	publishMaxBackoff     = 5 * time.Second // limit of the backoff while the platform is down
)

// primaryChange is a change of primary that has to be published to the platform.
type primaryChange struct {
	Group   topology.GroupID  `json:"group"`
	Term    uint64            `json:"term"`
	Primary topology.TargetID `json:"primary"`
}

// publisher publishes changes of primary to the platform in the background, so
// that no failover waits for the platform. It keeps only the latest change of
// each group.
type publisher struct {
	platform Publisher
	log      logr.Logger
	wake     chan struct{}

	mu      sync.Mutex
	changes map[topology.GroupID]primaryChange
}

func newPublisher(platform Publisher, log logr.Logger) *publisher {
	return &publisher{platform: platform, log: log, wake: make(chan struct{}, 1), changes: map[topology.GroupID]primaryChange{}}
}

func (p *publisher) add(change primaryChange) {
	if p.platform == nil {
		return
	}
	p.mu.Lock()
	if p.changes[change.Group].Term < change.Term {
		p.changes[change.Group] = change
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *publisher) pending() []primaryChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []primaryChange
	for _, change := range p.changes {
		all = append(all, change)
	}
	return all
}

func (p *publisher) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = publishInitialBackoff, publishMaxBackoff
	for {
		wait := publishMaxBackoff
		if p.publishAll(ctx) {
			retry.Reset()
		} else {
			wait = retry.NextBackOff()
		}
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-time.After(wait):
		}
	}
}

// publishAll tries to publish each pending change once and reports whether all
// of them succeeded.
func (p *publisher) publishAll(ctx context.Context) bool {
	allPublished := true
	for _, change := range p.pending() {
		ctx, cancel := context.WithTimeout(ctx, publishTimeout)
		err := p.platform.PublishGroup(ctx, change.Group, change.Term, change.Primary)
		cancel()
		countPublish(err)
		if err != nil {
			p.log.Info("cannot publish the new primary, will retry", "group", change.Group, "term", change.Term, "error", err.Error())
			allPublished = false
			continue
		}
		p.remove(change)
	}
	return allPublished
}

func (p *publisher) remove(change primaryChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changes[change.Group] == change {
		delete(p.changes, change.Group)
	}
}
