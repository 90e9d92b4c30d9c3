package freshness

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	boundShare   = 5                     // polls within the smallest staleness bound
	shortestPoll = 20 * time.Millisecond // bounds what a small bound costs the primary
	longestPoll  = 500 * time.Millisecond
	pollTimeout  = 1 * time.Second // ends a poll whose answer is lost, so that the next one is sent
	idleAfter    = 10 * time.Second
)

// Source answers where a group's primary is.
type Source interface {
	// Primary returns the status that the primary gave after the call began,
	// at a term that a majority of the group's targets confirmed after the call
	// began. A primary's own word isn't enough: it may have been replaced, and
	// then it doesn't know of the newest data.
	Primary(ctx context.Context, group topology.GroupID) (target.Status, error)
}

// Config is what a Poller is made of.
type Config struct {
	Source Source
	// Bound returns the smallest staleness bound in force for the group's
	// readers, 0 if none has one.
	Bound func(topology.GroupID) time.Duration
	Log   logr.Logger
}

// Poller implements pool's Freshness.
type Poller struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	polls  sync.WaitGroup

	mu     sync.Mutex // guards groups
	groups map[topology.GroupID]*group
}

// group is one group's anchors and poller.
type group struct {
	mu      sync.Mutex // guards the fields below
	anchors Anchors
	polling bool
	asked   time.Time // when somebody last asked for an age
}

// New returns a poller that asks nothing until an age is wanted. The caller
// ends it with Close.
func New(cfg Config) *Poller {
	p := &Poller{cfg: cfg, groups: make(map[topology.GroupID]*group)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Close ends all polls.
func (p *Poller) Close() {
	p.mu.Lock()
	p.cancel() // no poll starts any more
	p.mu.Unlock()
	p.polls.Wait()
}

// Age returns an upper bound on how stale data of the group at the position
// is, or false if none is known. It keeps the group's poller going.
func (p *Poller) Age(id topology.GroupID, applied topology.Position) (time.Duration, bool) {
	g := p.group(id)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = now
	if !g.polling {
		g.polling = p.start(id, g)
	}
	return g.anchors.Age(applied, now)
}

func (p *Poller) group(id topology.GroupID) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[id]
	if !ok {
		g = &group{}
		p.groups[id] = g
	}
	return g
}

func (p *Poller) start(id topology.GroupID, g *group) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.polls.Go(func() { p.run(id, g) })
	return true
}

func (p *Poller) run(id topology.GroupID, g *group) {
	for g.wanted(time.Now()) {
		p.poll(id, g)
		timer := time.NewTimer(interval(p.cfg.Bound(id)))
		select {
		case <-p.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// wanted ends the polling of a group that is idle.
func (g *group) wanted(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.polling = now.Sub(g.asked) < idleAfter
	return g.polling
}

// interval is the time between polls under a staleness bound.
func interval(bound time.Duration) time.Duration {
	if bound == 0 {
		return longestPoll
	}
	return min(max(bound/boundShare, shortestPoll), longestPoll)
}

func (p *Poller) poll(id topology.GroupID, g *group) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	status, err := p.cfg.Source.Primary(ctx, id)
	if err != nil {
		p.cfg.Log.V(1).Info("primary not polled", "group", id, "error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.anchors.Learn(sent, status)
}

// GroupDump is what is known of one group's primary.
type GroupDump struct {
	Group   topology.GroupID  `json:"group"`
	Polling bool              `json:"polling"`
	Anchors int               `json:"anchors"`
	Latest  topology.Position `json:"latest"`
	AgeMS   int64             `json:"latest_ms_ago"`
}

// Dump returns the state for operators.
func (p *Poller) Dump() any {
	p.mu.Lock()
	groups := make(map[topology.GroupID]*group, len(p.groups))
	for id, g := range p.groups {
		groups[id] = g
	}
	p.mu.Unlock()
	dump := []GroupDump{}
	for id, g := range groups {
		dump = append(dump, g.dump(id, time.Now()))
	}
	return dump
}

func (g *group) dump(id topology.GroupID, now time.Time) GroupDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := GroupDump{Group: id, Polling: g.polling, Anchors: len(g.anchors.list)}
	if n := len(g.anchors.list); n > 0 {
		d.Latest = g.anchors.list[n-1].Position
		d.AgeMS = now.Sub(g.anchors.list[n-1].Sent).Milliseconds()
	}
	return d
}
