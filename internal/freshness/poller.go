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
	pollsPerBound   = 5                     // number of polls within the smallest staleness bound
	minPollInterval = 20 * time.Millisecond // limits the load that a small bound puts on the primary
	maxPollInterval = 500 * time.Millisecond
	pollTimeout     = 1 * time.Second // ends a poll whose answer was lost, so that the next one is sent
	idleTimeout     = 10 * time.Second
)

// Source queries the primary of a group.
type Source interface {
	// Primary returns a status that the primary gave after the call began, at
	// a term that a majority of the group's targets confirmed after the call
	// began. The primary's own answer isn't enough: a primary that was
	// replaced without noticing doesn't know of the newest commits.
	Primary(ctx context.Context, group topology.GroupID) (target.Status, error)
}

// Config configures a Poller.
type Config struct {
	Source Source
	// StalenessBound returns the smallest staleness bound in force for the group's
	// readers, or 0 if there is none.
	StalenessBound func(topology.GroupID) time.Duration
	Log            logr.Logger
}

// Poller tracks the primary positions of all groups. It implements
// pool.Freshness.
type Poller struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	polls  sync.WaitGroup

	mu     sync.Mutex // guards groups
	groups map[topology.GroupID]*groupState
}

// groupState holds one group's anchors and its polling state.
type groupState struct {
	mu              sync.Mutex // guards the fields below
	anchors         Anchors
	polling         bool
	lastRequestedAt time.Time // when an age was last requested
}

// New returns a poller that polls no group until an age is requested. The
// caller must call Close.
func New(cfg Config) *Poller {
	p := &Poller{cfg: cfg, groups: make(map[topology.GroupID]*groupState)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Close stops all polling.
func (p *Poller) Close() {
	p.mu.Lock()
	p.cancel() // prevents new polling goroutines
	p.mu.Unlock()
	p.polls.Wait()
}

// Age returns an upper bound on how stale data of the group at the position is,
// or false if no bound is known. It starts or prolongs polling of the group.
func (p *Poller) Age(id topology.GroupID, applied topology.Position) (time.Duration, bool) {
	g := p.groupState(id)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRequestedAt = now
	if !g.polling {
		g.polling = p.startPolling(id, g)
	}
	return g.anchors.Age(applied, now)
}

func (p *Poller) groupState(id topology.GroupID) *groupState {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[id]
	if !ok {
		g = &groupState{}
		p.groups[id] = g
	}
	return g
}

func (p *Poller) startPolling(id topology.GroupID, g *groupState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.polls.Go(func() { p.pollLoop(id, g) })
	return true
}

func (p *Poller) pollLoop(id topology.GroupID, g *groupState) {
	for g.keepPolling(time.Now()) {
		p.poll(id, g)
		timer := time.NewTimer(pollInterval(p.cfg.StalenessBound(id)))
		select {
		case <-p.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// keepPolling reports whether an age was requested within idleTimeout, and
// otherwise marks the group as not polled.
func (g *groupState) keepPolling(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.polling = now.Sub(g.lastRequestedAt) < idleTimeout
	return g.polling
}

// pollInterval returns the time between polls for a staleness bound.
func pollInterval(bound time.Duration) time.Duration {
	if bound == 0 {
		return maxPollInterval
	}
	return min(max(bound/pollsPerBound, minPollInterval), maxPollInterval)
}

func (p *Poller) poll(id topology.GroupID, g *groupState) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	sent := time.Now()
	status, err := p.cfg.Source.Primary(ctx, id)
	if err != nil {
		p.cfg.Log.V(1).Info("primary poll failed", "group", id, "error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.anchors.RecordStatus(sent, status)
}

// GroupDump is the state of one group for operators.
type GroupDump struct {
	Group   topology.GroupID  `json:"group"`
	Polling bool              `json:"polling"`
	Anchors int               `json:"anchors"`
	Latest  topology.Position `json:"latest"`
	AgeMS   int64             `json:"latest_ms_ago"`
}

// Dump returns the state of all groups for operators.
func (p *Poller) Dump() any {
	p.mu.Lock()
	groups := make(map[topology.GroupID]*groupState, len(p.groups))
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

func (g *groupState) dump(id topology.GroupID, now time.Time) GroupDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := GroupDump{Group: id, Polling: g.polling, Anchors: len(g.anchors.list)}
	if n := len(g.anchors.list); n > 0 {
		d.Latest = g.anchors.list[n-1].Position
		d.AgeMS = now.Sub(g.anchors.list[n-1].Sent).Milliseconds()
	}
	return d
}
