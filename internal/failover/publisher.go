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
	publishTimeout    = 2 * time.Second
	publishFirstPause = 100 * time.Millisecond
	publishPause      = 5 * time.Second // longest, while the platform is down
)

// outcome is a change of primary that the platform is to be told.
type outcome struct {
	Group   topology.GroupID  `json:"group"`
	Term    uint64            `json:"term"`
	Primary topology.TargetID `json:"primary"`
}

// publisher tells the platform of outcomes, in its own time: no change of
// primary waits for it. Only a group's latest outcome is kept.
type publisher struct {
	to   Publisher
	log  logr.Logger
	wake chan struct{}

	mu   sync.Mutex
	todo map[topology.GroupID]outcome
}

func newPublisher(to Publisher, log logr.Logger) *publisher {
	return &publisher{to: to, log: log, wake: make(chan struct{}, 1), todo: map[topology.GroupID]outcome{}}
}

func (p *publisher) add(o outcome) {
	if p.to == nil {
		return
	}
	p.mu.Lock()
	if p.todo[o.Group].Term < o.Term {
		p.todo[o.Group] = o
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *publisher) pending() []outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []outcome
	for _, o := range p.todo {
		all = append(all, o)
	}
	return all
}

func (p *publisher) run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = publishFirstPause, publishPause
	for {
		wait := publishPause
		if p.publishAll(ctx) {
			pause.Reset()
		} else {
			wait = pause.NextBackOff()
		}
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-time.After(wait):
		}
	}
}

// publishAll tries each outcome once and tells whether none is left.
func (p *publisher) publishAll(ctx context.Context) bool {
	done := true
	for _, o := range p.pending() {
		ctx, cancel := context.WithTimeout(ctx, publishTimeout)
		err := p.to.PublishGroup(ctx, o.Group, o.Term, o.Primary)
		cancel()
		countPublish(err)
		if err != nil {
			p.log.Info("failover not published yet", "group", o.Group, "term", o.Term, "error", err.Error())
			done = false
			continue
		}
		p.remove(o)
	}
	return done
}

func (p *publisher) remove(o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.todo[o.Group] == o {
		delete(p.todo, o.Group)
	}
}
