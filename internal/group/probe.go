package group

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// startProbing starts a search for the leader unless one that serves is known or a search
// is running. The caller must hold g.mu.
func (g *Group) startProbing() {
	if g.probing || g.leaderServes() || !g.mayHoldConnection() || !g.hasLease() {
		return
	}
	g.probing = true
	go g.probeUntilLeaderFound()
}

// leaderServes reports whether a leader is known that takes new statements. The caller must
// hold g.mu.
func (g *Group) leaderServes() bool {
	if g.view.leader == "" {
		return false
	}
	m := g.members[g.view.leader]
	return m == nil || !m.pool.Ended()
}

// probeUntilLeaderFound probes all members that take new statements until one is proved to
// lead or none is left.
func (g *Group) probeUntilLeaderFound() {
	for {
		for id, pool := range g.pools() {
			g.probe(id, pool)
		}
		g.mu.Lock()
		if g.leaderServes() || !g.mayHoldConnection() || !g.hasLease() {
			g.probing = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		time.Sleep(probeInterval)
	}
}

// mayHoldConnection reports whether this host has or may open a connection to any member.
// Without one there is nothing to probe over: other hosts hold the group's connections for
// this one. SetMembers starts a search when that changes. The caller must hold g.mu.
func (g *Group) mayHoldConnection() bool {
	for _, m := range g.members {
		if load := m.pool.Load(); load.Size > 0 || load.Open > 0 {
			return true
		}
	}
	return false
}

// hasLease reports whether a proof of leadership can count: this host has a lease on
// some target, or needs none.
func (g *Group) hasLease() bool {
	if g.opts.Leases == nil {
		return true
	}
	_, ok := g.opts.Leases.Target(g.opts.ID)
	return ok
}

func (g *Group) pools() map[topology.TargetID]*share.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pools := make(map[topology.TargetID]*share.Pool, len(g.members))
	for id, m := range g.members {
		if !m.pool.Ended() {
			pools[id] = m.pool
		}
	}
	return pools
}

// maxUnansweredProbes is the number of consecutive probes without an answer
// after which a target counts as silent.
const maxUnansweredProbes = 2

// probeTimeout bounds a probe. A probe takes none of the target's work slots,
// so its answer takes only a round trip.
const probeTimeout = 150 * time.Millisecond

// probe asks a target over an idle connection whether it leads. It returns
// false only if the target was asked and didn't answer.
func (g *Group) probe(id topology.TargetID, pool *share.Pool) (answered bool) {
	conn := pool.TryAcquireAny()
	if conn == nil {
		return true
	}
	sent := steady.Now()
	answers, err := conn.Exchange(time.Now().Add(probeTimeout), LeaderProbe()...)
	pool.Release(conn, err == nil && answers[1].State == statement.Idle)
	if err != nil {
		g.recordUnansweredProbe(id, pool, sent)
		return false
	}
	g.recordAnsweredProbe(id)
	g.NoteBeginAnswer(id, sent, &answers[0])
	return true
}

// recordUnansweredProbe counts a probe without an answer. At
// maxUnansweredProbes in a row the target counts as silent: its idle
// connections are closed, since they have most likely gone silent too, and it
// no longer counts as the leader. With outlier ejection a probe doesn't count if the target
// answered a statement since it was sent: answers to statements decide.
func (g *Group) recordUnansweredProbe(id topology.TargetID, pool *share.Pool, sent time.Time) {
	if g.recoveryOn() && g.answeredAfter(id, sent) {
		return
	}
	g.NoteFailing(id)
	g.mu.Lock()
	member := g.members[id]
	limitReached := false
	if member != nil {
		member.unansweredProbes++
		limitReached = member.unansweredProbes >= maxUnansweredProbes
	}
	g.mu.Unlock()
	if limitReached {
		g.noteDown(id)
		pool.DropIdle()
		g.refuteLeader(id, steady.Now(), false)
	}
}

// answeredAfter reports whether the target answered a statement after the given time.
func (g *Group) answeredAfter(id topology.TargetID, sent time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && m.answeredAt.After(sent)
}

// recordAnsweredProbe resets the count of unanswered probes.
func (g *Group) recordAnsweredProbe(id topology.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.unansweredProbes = 0
	}
}

// LeaderProbe returns the statements that prove whether a target leads: only a leader
// agrees to begin a transaction.
func LeaderProbe() []statement.Statement {
	return []statement.Statement{
		{ID: statement.ProxyRequestID, Kind: statement.Begin},
		{ID: statement.ProxyRequestID, Kind: statement.Rollback},
	}
}

// NoteBeginAnswer evaluates a target's answer to the start of a transaction that was
// requested at sent.
func (g *Group) NoteBeginAnswer(id topology.TargetID, sent time.Time, begin *statement.Answer) {
	switch {
	case begin.OK():
		g.notePosition(id, sent, begin, false)
	case begin.Code == statement.ReadOnly:
		g.NoteNotLeading(id, sent)
	}
}

// needsRefresh reports whether Refresh would probe the leader.
func (g *Group) needsRefresh(maxAge time.Duration) bool {
	if latest, ok := g.AnchorAge(); ok && latest < maxAge {
		return false
	}
	_, _, ok := g.provedLeader()
	return ok
}

// provedLeader returns the leader also if it takes no new statements. Until it is replaced,
// anchors come from it.
func (g *Group) provedLeader() (topology.TargetID, *share.Pool, bool) {
	g.mu.Lock()
	id := g.view.leader
	m := g.members[id]
	g.mu.Unlock()
	if m == nil || !g.MayLead(id) {
		return "", nil, false
	}
	return id, m.pool, true
}

// Refresh probes the leader for a new anchor if the newest one is older than
// maxAge.
func (g *Group) Refresh(maxAge time.Duration) {
	if latest, ok := g.AnchorAge(); ok && latest < maxAge {
		return
	}
	id, pool, ok := g.provedLeader()
	if !ok {
		return
	}
	for range maxUnansweredProbes { // repeats an unanswered probe at once
		if g.probe(id, pool) {
			return
		}
	}
}
