package group

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/outlier"
	"nettlewalk.example/nettlewalk/internal/slowstart"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// returnReason tells how a target returned.
type returnReason string

const (
	returnReachable  returnReason = "reachable"  // a connection was opened after the target couldn't be reached
	returnRegistered returnReason = "registered" // its registration is new or has a new address
	returnRestarted  returnReason = "restarted"  // it registered as a new incarnation
	returnPromoted   returnReason = "promoted"
	returnRecovered  returnReason = "recovered" // its ejection ended
)

// targetRamp is the slow start of one target.
type targetRamp struct {
	slowstart.Ramp
	down   bool // the target couldn't be reached since its last return
	lost   bool // this host's last connection to it was closed since then
	rising bool // the end of the slow start wasn't logged yet
}

// recovery decides how much of their usual reads the targets of a group get. It is guarded
// by the group's lock. The zero value is ready to use.
type recovery struct {
	detector outlier.Detector
	ramps    map[topology.TargetID]*targetRamp
	listed   bool              // a list of targets was set; those that are new to later lists return
	proved   topology.TargetID // the target that this host last proved to lead
}

func (r *recovery) ramp(id topology.TargetID) *targetRamp {
	t := r.ramps[id]
	if t == nil {
		if r.ramps == nil {
			r.ramps = map[topology.TargetID]*targetRamp{}
		}
		t = &targetRamp{}
		r.ramps[id] = t
	}
	return t
}

// recoveryOn reports whether slow start and outlier ejection are in force.
func (g *Group) recoveryOn() bool { return g.opts.Recovery != nil && g.opts.Recovery() }

// startSlowly begins the slow start of a member that returned. The caller must hold g.mu.
func (g *Group) startSlowly(id topology.TargetID, reason returnReason) {
	t := g.recovery.ramp(id)
	t.down, t.lost, t.rising = false, false, true
	duration := t.Return(steady.Now(), g.members[id].info.Cold)
	metrics.GetOrCreateCounter(`nettlewalk_target_slow_starts_total{reason="` + string(reason) + `"}`).Inc()
	g.opts.Log.Info("slow start of target begins", "group", g.opts.ID, "target", id, "reason", string(reason), "over_ms", duration.Milliseconds())
}

// noteDown records that the target can't be reached.
func (g *Group) noteDown(id topology.TargetID) {
	if !g.recoveryOn() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[id] != nil {
		g.recovery.ramp(id).down = true
	}
}

// noteUp records that a connection to the target was opened.
func (g *Group) noteUp(id topology.TargetID) {
	if !g.recoveryOn() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[id] == nil {
		return
	}
	t := g.recovery.ramp(id)
	if t.down { // the outage explains its failed answers
		g.forgetAnswers(id)
	}
	if t.down || t.lost {
		g.startSlowly(id, returnReachable)
	}
}

// NoteClosed records that a connection to the target was closed. If it was this host's last
// one, the target may have been restarted.
func (g *Group) NoteClosed(id topology.TargetID) {
	if !g.recoveryOn() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil && m.pool.Load().Open == 0 {
		g.recovery.ramp(id).lost = true
	}
}

// notePromoted records that this host proved the member to lead. The caller must hold g.mu.
func (g *Group) notePromoted(id topology.TargetID, recoveryOn bool) {
	if recoveryOn && g.recovery.proved != "" && g.recovery.proved != id {
		g.startSlowly(id, returnPromoted)
	}
	g.recovery.proved = id
}

// noteRegistered records that the target is new to the list of targets. The caller must hold
// g.mu.
func (g *Group) noteRegistered(id topology.TargetID, recoveryOn bool) {
	if recoveryOn && (g.recovery.listed || g.members[id].info.Cold > 0) {
		g.startSlowly(id, returnRegistered)
	}
}

// noteRestarted records that the target registered as a new incarnation, which has nothing of
// the one before. The caller must hold g.mu.
func (g *Group) noteRestarted(m *member, recoveryOn bool) {
	m.applied, m.lagBackoff = topology.Position{}, lagBackoff{}
	g.forgetAnswers(m.info.Target.ID)
	if recoveryOn {
		g.startSlowly(m.info.Target.ID, returnRestarted)
	}
}

// forgetAnswers drops what is known of the answers of a target that was removed or replaced.
// The caller must hold g.mu.
func (g *Group) forgetAnswers(id topology.TargetID) {
	if g.recovery.detector.Forget(id) {
		g.logEjection(id, "removed", outlier.Figures{})
	}
}

// endList records that a list of targets was set. It bounds the memory of the slow starts of
// removed targets, which are kept since a target that returns again and again may leave the
// list in between. The caller must hold g.mu.
func (g *Group) endList() {
	g.recovery.listed = g.recovery.listed || len(g.members) > 0
	if len(g.recovery.ramps) <= 2*len(g.members)+maxRemovedRamps {
		return
	}
	for id := range g.recovery.ramps {
		if g.members[id] == nil {
			delete(g.recovery.ramps, id)
		}
	}
}

// maxRemovedRamps is how many removed targets a group without targets remembers.
const maxRemovedRamps = 8

// NoteFailedAnswer records that the target failed a statement, broke its connection, or
// didn't answer in time.
func (g *Group) NoteFailedAnswer(id topology.TargetID) {
	if !g.recoveryOn() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordAnswer(id, true)
}

// noteAnswer records an answer of the target that isn't a failure. The caller must hold g.mu.
func (g *Group) noteAnswer(id topology.TargetID, took time.Duration) {
	t := g.recovery.ramp(id)
	t.Answer(steady.Now(), took)
	if t.rising && t.Weight(steady.Now()) >= 1 {
		t.rising = false
		g.opts.Log.Info("slow start of target ended", "group", g.opts.ID, "target", id)
	}
	g.recordAnswer(id, false)
}

// recordAnswer counts an answer, and begins or ends an ejection. The caller must hold g.mu.
func (g *Group) recordAnswer(id topology.TargetID, failed bool) {
	if g.members[id] == nil {
		return
	}
	others := 0
	now := steady.Now()
	for other, m := range g.members {
		if failed && other != id && !m.info.Target.Leaving && now.After(m.failingUntil) && m.pool.Load().Open > 0 {
			others++
		}
	}
	changed, change, f := g.recovery.detector.Record(id, failed, others, now)
	if change == outlier.None {
		return
	}
	g.logEjection(changed, change.String(), f)
	if change == outlier.Recovered {
		g.startSlowly(changed, returnRecovered)
	}
}

// logEjection logs and counts a change of the target that is ejected.
func (g *Group) logEjection(id topology.TargetID, change string, f outlier.Figures) {
	metrics.GetOrCreateCounter(`nettlewalk_target_ejections_total{change="` + change + `"}`).Inc()
	g.opts.Log.Info("outlier ejection changed", "group", g.opts.ID, "target", id, "change", change,
		"answers", f.Answers, "failed", f.Failed, "others_answers", f.OthersAnswers, "others_failed", f.OthersFailed)
}

// holdOff decides from which of the candidates this read is held off. A candidate is held
// off only if another one can serve the read. The caller must hold g.mu.
func (g *Group) holdOff(candidates []Candidate, now time.Time) {
	ejected := g.recovery.detector.Ejected()
	var usable []*Candidate
	var outlying *Candidate
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Open == 0, c.Failing, c.Lagging, c.Leaving:
		case c.ID == ejected:
			outlying = c
		default:
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return
	}
	if outlying != nil {
		outlying.Probe = g.draw() < outlier.ProbeShare
		outlying.HeldOff = !outlying.Probe
		if outlying.HeldOff {
			countHeldOff("ejected")
		}
	}
	weights := make([]float64, len(usable))
	for i, c := range usable {
		weights[i] = 1
		if t := g.recovery.ramps[c.ID]; t != nil {
			weights[i] = t.Weight(now)
		}
	}
	slowstart.Normalize(weights)
	for i, c := range usable {
		if weights[i] < 1 && g.draw() >= weights[i] {
			c.HeldOff = true
			countHeldOff("slow_start")
		}
	}
}

func countHeldOff(reason string) {
	metrics.GetOrCreateCounter(`nettlewalk_reads_held_off_total{reason="` + reason + `"}`).Inc()
}

// RecoveryDump is the part of a target's usual reads that this host sends to it.
type RecoveryDump struct {
	Weight  float64 `json:"weight"`
	Ejected bool    `json:"ejected"`
}

// dumpRecovery returns the state of a target, nil if slow start and ejection aren't in force.
// The caller must hold g.mu.
func (g *Group) dumpRecovery(id topology.TargetID, recoveryOn bool, now time.Time) *RecoveryDump {
	if !recoveryOn {
		return nil
	}
	d := &RecoveryDump{Weight: 1, Ejected: g.recovery.detector.Ejected() == id}
	if t := g.recovery.ramps[id]; t != nil {
		d.Weight = t.Weight(now)
	}
	if d.Ejected {
		d.Weight = outlier.ProbeShare
	}
	return d
}
