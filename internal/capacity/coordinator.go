package capacity

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// quietPeriod is how long nothing must have waited before a coordinator stops: short
	// waits at usual load don't each begin anew without knowledge.
	quietPeriod = 500 * time.Millisecond
	// pollTimeout limits a poll. A holder that is slower counts with its last figures, and
	// isn't polled again in the meantime.
	pollTimeout = 250 * time.Millisecond
	// wakeTimeout limits the call that wakes a coordinator: with that to the next holder
	// in order it is within unansweredAfter.
	wakeTimeout = 100 * time.Millisecond
	// avoidPeriod is how long a coordinator that didn't answer isn't asked again.
	avoidPeriod = 1 * time.Second
	// maxCoordinators is the number of holders that are asked to coordinate.
	maxCoordinators = 3
	// logInterval bounds the log lines of one group.
	logInterval = 10 * time.Second
)

// Pool is a holder's connections to one target.
type Pool interface {
	// Figures returns false if the target's capacity isn't shared.
	Figures() (Figures, bool)
	// Allocate sets how many statements may be in flight; 0: allocations end.
	Allocate(n int)
}

// HeldTarget is a target to which this host has a pool.
type HeldTarget struct {
	ID topology.TargetID
	// Identity changes when the target is replaced under its ID.
	Identity string
	Slots    int
	Pool     Pool
}

// Options configures a Coordinator.
type Options struct {
	Self    topology.HostID
	Peers   peer.Caller
	Enabled func() bool
	Holders func(topology.GroupID) []topology.HostID
	Targets func(topology.GroupID) []HeldTarget
	Log     logr.Logger
}

// Coordinator takes part in the division of the capacity of the targets of all groups that
// this host holds. It is safe for concurrent use.
type Coordinator struct {
	opts Options
	ctx  context.Context // of Run

	mu      sync.Mutex
	groups  map[topology.GroupID]*coordination
	waking  map[topology.GroupID]bool
	avoided map[topology.HostID]time.Time // coordinators that didn't answer, until when
}

// coordination is the state of a group that this host coordinates.
type coordination struct {
	id       topology.GroupID
	startsAt time.Time
	waitedAt time.Time // when something last waited
	targets  map[topology.TargetID]*coordinatedTarget
	wakers   map[topology.HostID]time.Time // hosts that woke this one, when
	polling  map[topology.HostID]bool      // a call is in progress
	silent   map[topology.HostID]bool      // the last call failed
	rounds   int                           // so far
	loggedAt time.Time
}

type coordinatedTarget struct {
	*Target
	identity    string
	allocations map[topology.HostID]int // nil before the first round
}

// NewCoordinator returns a coordinator that does nothing before it is woken. Its calls end
// with ctx.
func NewCoordinator(ctx context.Context, opts Options) *Coordinator {
	return &Coordinator{
		opts: opts, ctx: ctx, groups: map[topology.GroupID]*coordination{},
		waking: map[topology.GroupID]bool{}, avoided: map[topology.HostID]time.Time{},
	}
}

// Coordinators returns the holders of a group in the order in which they coordinate it,
// which is the same on all hosts that know the same holders.
func Coordinators(group topology.GroupID, holders []topology.HostID) []topology.HostID {
	rank := func(host topology.HostID) uint64 { return xxhash.Sum64String(string(group) + "\x00" + string(host)) }
	return slices.SortedFunc(slices.Values(holders), func(a, b topology.HostID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
}

// NoteWaiting wakes the coordinator of a group, at which a request waits at this host. It
// doesn't block.
func (c *Coordinator) NoteWaiting(group topology.GroupID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waking[group] || c.groups[group] != nil || c.ctx.Err() != nil {
		return
	}
	c.waking[group] = true
	go func() {
		c.wake(group)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waking, group)
	}()
}

// wake tells the first holder of the group that answers to coordinate.
func (c *Coordinator) wake(group topology.GroupID) {
	order := Coordinators(group, c.opts.Holders(group))
	for i, host := range order[:min(len(order), maxCoordinators)] {
		if host == c.opts.Self {
			c.coordinate(group, host, i > 0)
			return
		}
		if c.avoids(host) {
			continue
		}
		wakes.Inc()
		ctx, cancel := context.WithTimeout(c.ctx, wakeTimeout)
		var reply WakeReply
		err := c.opts.Peers.Call(ctx, host, wakeMethod, &WakeArgs{From: c.opts.Self, Group: group, StandsIn: i > 0}, &reply)
		cancel()
		if err == nil && reply.Coordinates {
			return
		}
		failedWakes.Inc()
		c.mu.Lock()
		c.avoided[host] = time.Now().Add(avoidPeriod)
		c.mu.Unlock()
		c.opts.Log.V(1).Info("holder does not coordinate the capacity of a group", "group", group, "whom", host, "error", errorText(err))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (c *Coordinator) avoids(host topology.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, avoided := c.avoided[host]
	if avoided && !time.Now().Before(until) {
		delete(c.avoided, host)
		return false
	}
	return avoided
}

// coordinate begins to coordinate a group for a holder at which a request waits. It
// returns false if this host doesn't.
func (c *Coordinator) coordinate(group topology.GroupID, from topology.HostID, standsIn bool) bool {
	if !c.opts.Enabled() || len(c.opts.Targets(group)) == 0 || !slices.Contains(c.opts.Holders(group), c.opts.Self) {
		return false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	g := c.groups[group]
	if g == nil {
		g = &coordination{
			id: group, startsAt: now, waitedAt: now, targets: map[topology.TargetID]*coordinatedTarget{},
			wakers: map[topology.HostID]time.Time{}, polling: map[topology.HostID]bool{}, silent: map[topology.HostID]bool{},
		}
		c.groups[group] = g
		if standsIn {
			c.opts.Log.Info("coordinating the capacity of a group for a holder that does not answer", "group", group, "whom", from)
		}
		go c.run(g)
	}
	if len(g.wakers) < maxWakers || !g.wakers[from].IsZero() {
		g.wakers[from] = now
	}
	return true
}

// maxWakers bounds the hosts that count as holders although the list doesn't have them.
const maxWakers = 64

// run polls the holders of a group until nothing waits any more.
func (c *Coordinator) run(g *coordination) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for c.round(g) {
		select {
		case <-c.ctx.Done():
			c.mu.Lock()
			delete(c.groups, g.id)
			c.mu.Unlock()
			return
		case <-ticker.C:
		}
	}
}

// round decides on the allocations and sends them. It returns false after the last one.
// Pools are called without holding c.mu, since they call NoteWaiting with their lock held.
func (c *Coordinator) round(g *coordination) bool {
	now := time.Now()
	held, listed := c.opts.Targets(g.id), c.opts.Holders(g.id)
	enabled := c.opts.Enabled() && slices.Contains(listed, c.opts.Self)
	own := map[topology.TargetID]Figures{}
	for _, t := range held {
		if f, ok := t.Pool.Figures(); ok {
			own[t.ID] = f
		}
	}
	rounds.Inc()
	allocations, ended := c.decide(g, held, own, listed, enabled, now)
	for _, t := range held {
		apply(t.Pool, allocations[t.ID], ended)
	}
	return !ended
}

// decide makes the decisions of a round and sends them to the other holders. It returns
// this host's allocations.
func (c *Coordinator) decide(g *coordination, held []HeldTarget, own map[topology.TargetID]Figures, listed []topology.HostID, enabled bool, now time.Time) (allocations map[topology.TargetID]int, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.setTargets(held)
	holders := g.holders(listed, now)
	allocations = map[topology.TargetID]int{}
	for id, t := range g.targets {
		if f, ok := own[id]; ok {
			t.Note(c.opts.Self, f, now)
		}
		if t.Waits(now) {
			g.waitedAt = now
		}
		if g.rounds == 0 {
			continue // nothing is known of the others
		}
		before := t.Capacity()
		t.allocations = t.Divide(holders, now)
		c.logCapacity(g, id, t, before, now)
		allocations[id] = t.allocations[c.opts.Self]
	}
	g.rounds++
	ended = !enabled || now.Sub(g.waitedAt) > quietPeriod
	for _, host := range holders {
		if host != c.opts.Self {
			c.poll(g, host, ended)
		}
	}
	if ended {
		delete(c.groups, g.id)
	}
	return allocations, ended
}

// apply sets the allocation n, 0 if there is none yet.
func apply(p Pool, n int, ended bool) {
	switch {
	case ended:
		p.Allocate(0)
	case n > 0:
		p.Allocate(n)
	}
}

// setTargets forgets targets that were removed or replaced.
func (g *coordination) setTargets(held []HeldTarget) {
	kept := map[topology.TargetID]bool{}
	for _, t := range held {
		kept[t.ID] = true
		known := g.targets[t.ID]
		if known == nil || known.identity != t.Identity || known.slots != t.Slots {
			g.targets[t.ID] = &coordinatedTarget{Target: NewTarget(t.Slots), identity: t.Identity}
		}
	}
	for id := range g.targets {
		if !kept[id] {
			delete(g.targets, id)
		}
	}
}

// holders returns the listed holders and the others that woke this host lately.
func (g *coordination) holders(listed []topology.HostID, now time.Time) []topology.HostID {
	all := slices.Clone(listed)
	for host, at := range g.wakers {
		switch {
		case now.Sub(at) > MaxAge:
			delete(g.wakers, host)
		case !slices.Contains(all, host):
			all = append(all, host)
		}
	}
	slices.Sort(all)
	return all
}

// poll sends a holder its allocations and gets its figures. The caller holds c.mu.
func (c *Coordinator) poll(g *coordination, host topology.HostID, ended bool) {
	if g.polling[host] {
		return
	}
	args := &PollArgs{From: c.opts.Self, Group: g.id, Ended: ended}
	for id, t := range g.targets {
		if n := t.allocations[host]; n > 0 && !ended {
			args.Allocations = append(args.Allocations, Allocation{Target: id, N: n})
		}
	}
	g.polling[host] = true
	polls.Inc()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, pollTimeout)
		defer cancel()
		var reply PollReply
		err := c.opts.Peers.Call(ctx, host, pollMethod, args, &reply)
		now := time.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(g.polling, host)
		c.noteAnswer(g, host, err, now)
		if err != nil || !reply.Holds {
			return
		}
		figures := map[topology.TargetID]Figures{}
		for _, f := range reply.Targets {
			figures[f.Target] = f.Figures
		}
		for id, t := range g.targets {
			t.Note(host, figures[id], now) // idle targets aren't sent
		}
	}()
}

// noteAnswer records whether a holder answered a poll. The caller holds c.mu.
func (c *Coordinator) noteAnswer(g *coordination, host topology.HostID, err error, now time.Time) {
	if err != nil {
		failedPolls.Inc()
	}
	if g.silent[host] == (err != nil) {
		return
	}
	g.silent[host] = err != nil
	if g.mayLog(now) {
		c.opts.Log.Info("holder answers polls of its capacity", "group", g.id, "whom", host, "answers", err == nil, "error", errorText(err))
	}
}

// logCapacity logs that a target's capacity fell below half of its work slots.
func (c *Coordinator) logCapacity(g *coordination, id topology.TargetID, t *coordinatedTarget, before int, now time.Time) {
	after := t.Capacity()
	if after < before {
		reductions.Inc()
	}
	if 2*after < t.slots && 2*before >= t.slots && g.mayLog(now) {
		c.opts.Log.Info("capacity of a target has fallen below half of its work slots", "group", g.id, "target", id, "capacity", after, "slots", t.slots)
	}
}

func (g *coordination) mayLog(now time.Time) bool {
	if !g.loggedAt.IsZero() && now.Sub(g.loggedAt) < logInterval {
		return false
	}
	g.loggedAt = now
	return true
}
