package group

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// arrivalMargin is the part of the leave notice that is left for statements in flight: some
// round trips between failure domains.
const arrivalMargin = 300 * time.Millisecond

// departure tells that a target is leaving, or has left the registry.
type departure struct {
	known bool
	// since is when the store accepted that at the earliest; zero: not known.
	since time.Time
}

// end returns from when on the target gets no new statements; zero: no such time. A target
// of which it isn't known how long it has been leaving may stop at any moment.
func (d departure) end(notice time.Duration) time.Time {
	if !d.known || notice == 0 {
		return time.Time{}
	}
	return d.since.Add(notice - arrivalMargin)
}

// SetDepartures sets which targets of any group depart, and since when at the earliest.
// Their use for new statements ends when the leave notice has passed, whatever their role:
// a leader that can't be replaced in time stops all the same.
func (g *Group) SetDepartures(since map[topology.TargetID]time.Time) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, m := range g.members {
		at, known := since[id]
		d := departure{known, at}
		if d == m.departure {
			continue
		}
		m.departure = d
		end := d.end(g.opts.LeaveNotice)
		m.pool.SetEnd(end)
		if known && !end.IsZero() {
			g.opts.Log.Info("target departs", "group", g.opts.ID, "target", id, "leads", id == g.view.leader,
				"since_known", !at.IsZero(), "since_ms_ago", now.Sub(at).Milliseconds(), "new_statements_for_ms", end.Sub(now).Milliseconds())
		}
	}
	g.startProbing()
}
