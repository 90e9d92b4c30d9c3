package promotion

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// report tracks the reports of one host that a target doesn't respond.
type report struct {
	target  topology.TargetID
	firstAt time.Time // start of the uninterrupted series of reports
	lastAt  time.Time // time of the last report
}

// Report records another host's report that a target doesn't respond.
func (w *Watcher) Report(from topology.HostID, target topology.TargetID) {
	w.mu.Lock()
	now := steady.Now()
	r := w.reports[from]
	if r.target != target || now.Sub(r.lastAt) > reportValidity {
		r = report{target: target, firstAt: now}
	}
	r.lastAt = now
	w.reports[from] = r
	w.mu.Unlock()
	w.wakeUp()
}

// wakeUp makes Run continue at once.
func (w *Watcher) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// silentToOthers is the reason to replace a leader that only this host reaches. It may not
// reach its replicas either, so nobody can be expected to receive what it has.
const silentToOthers = "leader does not respond to other hosts"

// shouldReplace reports whether the leader must be replaced, and why.
func (w *Watcher) shouldReplace(serves bool, reach Reach) (replace bool, reason string) {
	if !w.lastPromotionAt.IsZero() && steady.Now().Sub(w.lastPromotionAt) < promotionCooldown {
		return false, ""
	}
	pr := w.probers[w.leader]
	switch {
	case serves && pr != nil && pr.target.Leaving && w.promotableReplicas() > 0:
		return true, "leader is leaving"
	case serves:
		if n := w.countSilenceReports(); n >= max(2, w.opts.Hosts()/3) {
			return true, silentToOthers
		}
		return false, ""
	case pr == nil:
		return w.leader != "" || w.leaderlessTooLong(), "no target leads"
	case reach == Dead || reach == Reassigned || reach == UnregisteredTarget:
		return true, "leader is dead"
	case reach == Unresponsive && pr.missedProbes >= missedProbesLimit:
		return true, "leader does not respond"
	case reach == Answered:
		return true, "no target leads"
	}
	return false, ""
}

// leaderlessTooLong reports whether no target has been proved to lead for longer than
// effectTimeout. Until then the group may just be starting. If no target was ever
// proved to lead, the time counts from the first call.
func (w *Watcher) leaderlessTooLong() bool {
	if w.leaderProvedAt.IsZero() {
		w.leaderProvedAt = steady.Now()
	}
	return steady.Now().Sub(w.leaderProvedAt) > effectTimeout
}

func (w *Watcher) promotableReplicas() int {
	n := 0
	for id, pr := range w.probers {
		if id != w.leader && !pr.target.Leaving {
			n++
		}
	}
	return n
}

// countSilenceReports counts the hosts that have been reporting for reportMinDuration
// that the leader doesn't respond. It deletes expired reports.
func (w *Watcher) countSilenceReports() int {
	now := steady.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for from, r := range w.reports {
		if now.Sub(r.lastAt) > reportValidity {
			delete(w.reports, from)
			continue
		}
		if r.target == w.leader && now.Sub(r.firstAt) > reportMinDuration {
			n++
		}
	}
	return n
}

// clearReports discards all reports of other hosts.
func (w *Watcher) clearReports() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.reports)
}
