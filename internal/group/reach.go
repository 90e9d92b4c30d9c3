package group

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// dialed hears of every dial of the pools.
func (g *Group) dialed(id topology.TargetID, err error) {
	g.noteReach(id, err)
	mute := g.noteMute(id, err)
	var failure *statement.DialError
	if !errors.As(err, &failure) {
		dials("opened").Inc()
		return
	}
	dials(failure.Outcome.String()).Inc()
	unreachable := failure.Outcome == statement.DialRefused || failure.Outcome == statement.DialSilent
	if unreachable || mute {
		g.NoteUnreachable(id)
		g.opts.Suspect(g.opts.ID, id, failure.Outcome)
	}
}

// noteMute tells whether a target that has had no word for new connections for
// long leaves this host without any.
func (g *Group) noteMute(id topology.TargetID, dial error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && !m.mute.Note(dial, steady.Now()) && m.pool.Load().Open == 0
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
