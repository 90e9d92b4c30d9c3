package group

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

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
