package group

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	failingFor  = 500 * time.Millisecond // after a connection broke, other targets are tried first
	firstTook   = 10 * time.Millisecond  // guess of an answer's time before any was measured
	tookWeight  = 8                      // part of the running mean that each answer replaces
	idleRecheck = 40 * time.Millisecond  // between looks for a leader while there is none
)

// Options configures a Group.
type Options struct {
	ID     topology.GroupID
	Domain topology.Domain // of this host
	Dialer statement.Dialer
	Log    logr.Logger
	// Suspect is told of signs that a target is dead.
	Suspect func(topology.GroupID, topology.TargetID, statement.DialOutcome)
}

// member is one target with this host's connections to it.
type member struct {
	info    catalog.Member
	pool    *share.Pool
	lag     lag
	applied topology.Position // as its last answers say; a hint, as targets are rebuilt
	failing time.Time         // until then
	silent  int               // looks without an answer in a row
	lost    bool              // the last dial failed
	mute    statement.Mute
	took    time.Duration
}

// Group is what a host knows of a group. Safe for concurrent use.
type Group struct {
	opts Options

	mu      sync.Mutex
	belief  belief
	members map[topology.TargetID]*member
	found   chan struct{} // closed and replaced when a leader is proved
	seeking bool
}

// New returns a group without members.
func New(opts Options) *Group {
	g := &Group{opts: opts, members: map[topology.TargetID]*member{}, found: make(chan struct{})}
	g.belief.lost, g.belief.deposed = steady.Now(), true // somebody leads most likely, and is to be found
	return g
}

// SetMembers takes the group's registered targets and how many connections to
// keep open to each, 0: none.
func (g *Group) SetMembers(members []catalog.Member, sizes func(topology.Target) int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[topology.TargetID]bool{}
	for _, info := range members {
		kept[info.Target.ID] = true
		m := g.members[info.Target.ID]
		if m != nil && m.info.Target.Addr == info.Target.Addr {
			m.info = info
			m.pool.SetSize(sizes(info.Target))
			continue
		}
		if m != nil {
			m.pool.Close()
		}
		pool := share.NewPool(share.Options{Target: info.Target, Dialer: g.opts.Dialer, Size: sizes(info.Target), Dialed: g.dialed})
		g.members[info.Target.ID] = &member{info: info, pool: pool, took: firstTook}
	}
	for id, m := range g.members {
		if !kept[id] {
			m.pool.Close()
			delete(g.members, id)
			g.belief.refuted(id, steady.Now(), steady.Now(), false)
		}
	}
	g.seek()
}

// Leader returns the pool of the leader, or false if none is believed to lead.
func (g *Group) Leader() (topology.TargetID, *share.Pool, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[g.belief.leader]
	if m == nil {
		return "", nil, false
	}
	return g.belief.leader, m.pool, true
}

// LastLeader returns the target that was proved to lead last, to this host or to
// one that told it, and how long ago.
func (g *Group) LastLeader() (id topology.TargetID, ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.belief.last, steady.Now().Sub(g.belief.lastAt)
}

// HeardLeader takes another host's word that it proved the target to lead at
// that time or later. It doesn't make the target this host's leader.
func (g *Group) HeardLeader(id topology.TargetID, proved time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.belief.heardLast(id, proved)
}

// WaitLeader waits for a leader until the deadline.
func (g *Group) WaitLeader(ctx context.Context, deadline time.Time) (topology.TargetID, *share.Pool, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		g.mu.Lock()
		found := g.found
		g.seek()
		g.mu.Unlock()
		if id, pool, ok := g.Leader(); ok {
			return id, pool, true
		}
		select {
		case <-found:
		case <-timer.C:
			return "", nil, false
		case <-ctx.Done():
			return "", nil, false
		}
	}
}

// Loss returns for how long no target has been proved to lead.
func (g *Group) Loss() Loss {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.belief.loss(steady.Now())
}

// NoteLeading takes a proof that the target led when a request was sent.
func (g *Group) NoteLeading(id topology.TargetID, sent time.Time, a *statement.Answer) {
	g.mu.Lock()
	changed := g.belief.leads(id, sent, a.Position, a.HasPosition, steady.Now())
	if changed {
		close(g.found)
		g.found = make(chan struct{})
	}
	g.mu.Unlock()
	if changed {
		g.opts.Log.Info("leader found", "group", g.opts.ID, "target", id, "position", a.Position.String())
	}
}

// NoteNotLeading takes the news that the target refused to begin a transaction
// when a request was sent.
func (g *Group) NoteNotLeading(id topology.TargetID, sent time.Time) { g.refute(id, sent, true) }

func (g *Group) refute(id topology.TargetID, sent time.Time, deposed bool) {
	g.mu.Lock()
	refuted := g.belief.refuted(id, sent, steady.Now(), deposed)
	g.seek()
	g.mu.Unlock()
	if refuted {
		g.opts.Log.Info("target leads no more", "group", g.opts.ID, "target", id, "by_its_word", deposed)
	}
}

// NoteLagging notes that the target refused a read for lack of its position.
func (g *Group) NoteLagging(id topology.TargetID, a *statement.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.lag.lagged(steady.Now())
		if a.HasPosition {
			m.applied = a.Position
		}
	}
}

// NoteServed notes a statement that the target answered, and how long it took.
func (g *Group) NoteServed(id topology.TargetID, took time.Duration, a *statement.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.took += (took - m.took) / tookWeight
		m.lag.caughtUp()
		if a.HasPosition {
			m.applied = topology.Later(m.applied, a.Position)
		}
	}
}

// Took returns how long the target's answers usually take, 0 if it isn't known.
func (g *Group) Took(id topology.TargetID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		return m.took
	}
	return 0
}

// Cover returns a position with every commit that was acknowledged longer ago
// than age, and how old the newest knowledge of the leader's log is.
func (g *Group) Cover(age time.Duration) (p topology.Position, ok bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.belief.anchors.Cover(now.Add(-age))
}

// AnchorAge returns the age of the newest anchor.
func (g *Group) AnchorAge() (time.Duration, bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	latest, ok := g.belief.anchors.Latest()
	return now.Sub(latest), ok
}

// Choice is a target to try with this host's connections to it.
type Choice struct {
	Candidate
	Pool *share.Pool
}

// Readers returns the targets that may serve a read which needs a position, best
// first. One that refused a read lately lags, unless it had this position.
func (g *Group) Readers(after topology.Position) []Choice {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := make([]Candidate, 0, len(g.members))
	for id, m := range g.members {
		load := m.pool.Load()
		candidates = append(candidates, Candidate{
			ID:      id,
			Leads:   id == g.belief.leader,
			Near:    m.info.Target.Domain == g.opts.Domain,
			Leaving: m.info.Target.Leaving,
			Failing: now.Before(m.failing),
			Lagging: now.Before(m.lag.until) && !m.applied.AtLeast(after),
			Open:    load.Open,
			Idle:    load.Idle,
			Waiting: load.Waiting,
			Took:    m.took,
		})
	}
	ordered := Order(candidates)
	choices := make([]Choice, 0, len(ordered))
	for _, c := range ordered {
		choices = append(choices, Choice{Candidate: c, Pool: g.members[c.ID].pool})
	}
	return choices
}

// Close closes all connections.
func (g *Group) Close() { g.SetMembers(nil, nil) }
