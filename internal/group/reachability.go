package group

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// recordDial handles the result of a dial by one of the pools.
func (g *Group) recordDial(id topology.TargetID, err error) {
	g.updateReachability(id, err)
	unresponsive := g.recordHandshake(id, err)
	var dialErr *statement.DialError
	if !errors.As(err, &dialErr) {
		g.noteUp(id)
		dialCounter("opened").Inc()
		return
	}
	dialCounter(dialErr.Outcome.String()).Inc()
	unreachable := dialErr.Outcome == statement.DialRefused || dialErr.Outcome == statement.DialTimedOut
	if unreachable || unresponsive {
		g.NoteUnreachable(id)
		g.opts.OnSuspect(g.opts.ID, id, dialErr.Outcome)
	}
}

// recordHandshake records a dial's result. It reports whether the target has
// accepted connections for too long without a protocol response, and this host
// has no open connection to it.
func (g *Group) recordHandshake(id topology.TargetID, dialErr error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && !m.handshakes.RecordDial(dialErr, steady.Now()) && m.pool.Load().Open == 0
}

// dialCounter returns the counter of dials with the outcome.
func dialCounter(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`nettlewalk_target_dials_total{outcome="` + outcome + `"}`)
}

// updateReachability records whether the target is reachable and logs each
// change.
func (g *Group) updateReachability(id topology.TargetID, dialErr error) {
	g.mu.Lock()
	m := g.members[id]
	changed := m != nil && m.unreachable != (dialErr != nil)
	if changed {
		m.unreachable = dialErr != nil
	}
	g.mu.Unlock()
	switch {
	case changed && dialErr != nil:
		g.opts.Log.Info("target is unreachable", "group", g.opts.ID, "target", id, "error", dialErr.Error())
	case changed:
		g.opts.Log.Info("target is reachable again", "group", g.opts.ID, "target", id)
	}
}

// NoteUnreachable records that this host can't reach the target. If the target
// led, the group probes for a leader again, and the target is found again if it
// answers.
func (g *Group) NoteUnreachable(id topology.TargetID) {
	g.NoteFailing(id)
	g.noteDown(id)
	g.refuteLeader(id, steady.Now(), false)
}

// NoteFailing records that a connection to the target broke.
func (g *Group) NoteFailing(id topology.TargetID) {
	g.NoteClosed(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.failingUntil = steady.Now().Add(failingPeriod)
	}
}
