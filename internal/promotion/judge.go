package promotion

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// report is another host's word that the leader is silent to it.
type report struct {
	target topology.TargetID
	first  time.Time // of the reports since then none was long missing
	at     time.Time // of the last one
}

// Report takes another host's word that a target can't be reached.
func (w *Watcher) Report(from topology.HostID, target topology.TargetID) {
	w.mu.Lock()
	now := steady.Now()
	r := w.reports[from]
	if r.target != target || now.Sub(r.at) > reportsCount {
		r = report{target: target, first: now}
	}
	r.at = now
	w.reports[from] = r
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // it looks soon anyway
	}
}

// judge tells whether the leader is to be replaced.
func (w *Watcher) judge(serves bool, reach Reach) (replace bool, reason string) {
	if !w.settled.IsZero() && steady.Now().Sub(w.settled) < pauseBetween {
		return false, ""
	}
	e := w.probers[w.leader]
	switch {
	case serves && e != nil && e.target.Leaving && w.successors() > 0:
		return true, "leader is leaving"
	case serves:
		if n := w.silentTo(); n >= max(2, w.opts.Hosts()/3) {
			return true, "leader is silent to other hosts"
		}
		return false, ""
	case e == nil:
		return w.leader != "" || w.nobodyLeads(), "no target leads"
	case reach == Dead || reach == Gone || reach == Replaced:
		return true, "leader is dead"
	case reach == Silent && e.silent >= silentLooks:
		return true, "leader is silent"
	case reach == Answered:
		return true, "no target leads"
	}
	return false, ""
}

// nobodyLeads tells whether targets answer, and none has been proved to lead
// for long enough that it isn't just starting.
func (w *Watcher) nobodyLeads() bool {
	if w.leaderAt.IsZero() {
		w.leaderAt = steady.Now()
	}
	return steady.Now().Sub(w.leaderAt) > effectTimeout
}

func (w *Watcher) successors() int {
	n := 0
	for id, e := range w.probers {
		if id != w.leader && !e.target.Leaving {
			n++
		}
	}
	return n
}

// silentTo counts the hosts to which the leader was silent lately.
func (w *Watcher) silentTo() int {
	now := steady.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for from, r := range w.reports {
		if now.Sub(r.at) > reportsCount {
			delete(w.reports, from)
			continue
		}
		if r.target == w.leader && now.Sub(r.first) > reportsFirm {
			n++
		}
	}
	return n
}

// clearReports forgets what other hosts reported.
func (w *Watcher) clearReports() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.reports)
}
