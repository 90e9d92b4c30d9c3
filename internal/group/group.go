package group

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
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
	// LeaderFound is told when another target was proved to lead.
	LeaderFound func(topology.GroupID, topology.TargetID)
}

// member is one target with this host's connections to it.
type member struct {
	info    catalog.Member
	pool    *share.Pool
	lag     lag
	failing time.Time // until then
	silent  int       // looks without an answer in a row
	lost    bool      // the last dial failed
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

// dialed hears of every dial of the pools.
func (g *Group) dialed(id topology.TargetID, err error) {
	g.noteReach(id, err)
	var failure *statement.DialError
	if !errors.As(err, &failure) {
		dials("opened").Inc()
		return
	}
	dials(failure.Outcome.String()).Inc()
	if failure.Outcome != statement.DialRejected {
		g.NoteUnreachable(id)
		g.opts.Suspect(g.opts.ID, id, failure.Outcome)
	}
}

// dials counts dials by outcome.
func dials(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`nettlewalk_target_dials_total{outcome="` + outcome + `"}`)
}

// noteReach logs when a target is lost and when it is back.
func (g *Group) noteReach(id topology.TargetID, err error) {
	g.mu.Lock()
	m := g.members[id]
	changed := m != nil && m.lost != (err != nil)
	if changed {
		m.lost = err != nil
	}
	g.mu.Unlock()
	switch {
	case changed && err != nil:
		g.opts.Log.Info("target can't be reached", "group", g.opts.ID, "target", id, "error", err.Error())
	case changed:
		g.opts.Log.Info("target is reached again", "group", g.opts.ID, "target", id)
	}
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

// HeardLeader takes another host's word that it proved the target to lead so
// long ago. It doesn't make the target this host's leader.
func (g *Group) HeardLeader(id topology.TargetID, ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.belief.heardLast(id, steady.Now().Add(-ago))
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
		g.opts.LeaderFound(g.opts.ID, id)
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

// NoteUnreachable notes that the target can't be reached from this host. If it
// led, it is looked for anew; it is found again if it answers.
func (g *Group) NoteUnreachable(id topology.TargetID) {
	g.NoteFailing(id)
	g.refute(id, steady.Now(), false)
}

// NoteFailing notes that connections to the target break.
func (g *Group) NoteFailing(id topology.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.failing = steady.Now().Add(failingFor)
	}
}

// NoteLagging notes that the target lacked a position.
func (g *Group) NoteLagging(id topology.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.lag.lagged(steady.Now())
	}
}

// NoteServed notes a read that the target answered, and how long it took.
func (g *Group) NoteServed(id topology.TargetID, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.took += (took - m.took) / tookWeight
		m.lag.caughtUp()
	}
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

// Readers returns the targets that may serve a read, best first.
func (g *Group) Readers() []Choice {
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
			Lagging: now.Before(m.lag.until),
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

// seek looks for the leader unless one is known or a search is under way.
// Needs g.mu.
func (g *Group) seek() {
	if g.seeking || g.belief.leader != "" || len(g.members) == 0 {
		return
	}
	g.seeking = true
	go g.seekLoop()
}

func (g *Group) seekLoop() {
	for {
		for id, pool := range g.pools() {
			g.prove(id, pool)
		}
		g.mu.Lock()
		if g.belief.leader != "" || len(g.members) == 0 {
			g.seeking = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		time.Sleep(idleRecheck)
	}
}

func (g *Group) pools() map[topology.TargetID]*share.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pools := make(map[topology.TargetID]*share.Pool, len(g.members))
	for id, m := range g.members {
		pools[id] = m.pool
	}
	return pools
}

// silentLooks is how many looks without an answer count as silence.
const silentLooks = 2

// proofTimeout bounds the look whether a target leads. It takes no work slot
// there, so an answer needs a round trip.
const proofTimeout = 150 * time.Millisecond

// prove asks a target over an idle connection whether it leads. It returns
// false if the target was asked and didn't answer.
func (g *Group) prove(id topology.TargetID, pool *share.Pool) (answered bool) {
	conn := pool.TryAcquire()
	if conn == nil {
		return true
	}
	sent := steady.Now()
	answers, err := conn.Exchange(time.Now().Add(proofTimeout), Proof()...)
	pool.Release(conn, err == nil && answers[1].State == statement.Idle)
	if err != nil {
		g.noteSilent(id, pool)
		return false
	}
	g.heard(id)
	g.Judge(id, sent, &answers[0])
	return true
}

// noteSilent notes a look without an answer. The second one in a row counts as
// the target's silence: its other connections have most likely gone silent too.
func (g *Group) noteSilent(id topology.TargetID, pool *share.Pool) {
	g.NoteFailing(id)
	g.mu.Lock()
	m := g.members[id]
	silent := false
	if m != nil {
		m.silent++
		silent = m.silent >= silentLooks
	}
	g.mu.Unlock()
	if silent {
		pool.DropIdle()
		g.refute(id, steady.Now(), false)
	}
}

func (g *Group) heard(id topology.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.silent = 0
	}
}

// Proof is what a target is asked to prove that it leads.
func Proof() []statement.Statement {
	return []statement.Statement{
		{ID: statement.OwnID, Kind: statement.Begin},
		{ID: statement.OwnID, Kind: statement.Rollback},
	}
}

// Judge takes a target's answer to the start of a transaction.
func (g *Group) Judge(id topology.TargetID, sent time.Time, begin *statement.Answer) {
	switch {
	case begin.OK():
		g.NoteLeading(id, sent, begin)
	case begin.Code == statement.ReadOnly:
		g.NoteNotLeading(id, sent)
	}
}

// Refresh renews the knowledge of the leader's log if it is older than age.
func (g *Group) Refresh(age time.Duration) {
	if latest, ok := g.AnchorAge(); ok && latest < age {
		return
	}
	id, pool, ok := g.Leader()
	if !ok {
		return
	}
	for range silentLooks { // the second look follows a first one without an answer at once
		if g.prove(id, pool) {
			return
		}
	}
}

// MemberDump is one target as a host sees it.
type MemberDump struct {
	Target  catalog.Member `json:"target"`
	Leads   bool           `json:"leads"`
	Lost    bool           `json:"lost"`
	Lagging bool           `json:"lagging"`
	TookMS  float64        `json:"took_ms"`
	Load    share.Load     `json:"load"`
}

// Dump is a group as a host sees it.
type Dump struct {
	Group        topology.GroupID `json:"group"`
	LeaderlessMS int64            `json:"leaderless_ms"`
	AnchorAgeMS  int64            `json:"anchor_ms_ago"` // -1: none is known
	Members      []MemberDump     `json:"members"`
}

// Dump returns the state for operators.
func (g *Group) Dump() Dump {
	d := Dump{Group: g.opts.ID, LeaderlessMS: g.Loss().For.Milliseconds(), AnchorAgeMS: -1}
	if age, ok := g.AnchorAge(); ok {
		d.AnchorAgeMS = age.Milliseconds()
	}
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, m := range g.members {
		d.Members = append(d.Members, MemberDump{
			Target: m.info, Leads: id == g.belief.leader, Lost: m.lost, Lagging: now.Before(m.lag.until),
			TookMS: float64(m.took.Microseconds()) / 1000, Load: m.pool.Load(),
		})
	}
	return d
}

// Close closes all connections.
func (g *Group) Close() { g.SetMembers(nil, nil) }
