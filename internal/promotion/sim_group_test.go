package promotion

import (
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// logEntry is a commit in a log. Its term tells divergent histories apart.
type logEntry struct{ term uint64 }

// simTarget is a simulated target with its complete log.
type simTarget struct {
	id        topology.TargetID
	log       []logEntry
	paused    uint64 // term of the pause, 0 if it isn't paused
	down      bool
	downSince time.Time
	term      uint64 // of the leader that it follows, or under which it leads
	// lingersUntil is the time until which a replaced leader goes on to lead.
	lingersUntil time.Time
	lingers      bool
}

func (t *simTarget) position() topology.Position {
	if len(t.log) == 0 {
		return topology.Position{}
	}
	return pos(t.log[len(t.log)-1].term, uint64(len(t.log)))
}

// truncateToCommonPrefix removes the log entries from the first that differs from the
// leader's log.
func (t *simTarget) truncateToCommonPrefix(leader *simTarget) {
	n := 0
	for n < min(len(t.log), len(leader.log)) && t.log[n] == leader.log[n] {
		n++
	}
	t.log = t.log[:n:n]
}

// pendingCall is a promotion request that is on its way or waits for its effect.
type pendingCall struct {
	target   topology.TargetID
	token    uint64
	dueAt    time.Time
	accepted bool // the platform accepted it, and it takes effect at dueAt
}

// ackedLog is the log up to and including an acknowledged commit. Commits of earlier
// terms are never acknowledged later, because the clients that wait for them have
// lost their connections.
type ackedLog []logEntry

// replicate lets the leader commit, replicas receive and the leader acknowledge.
func (w *simulation) replicate() {
	if w.leader.down {
		return
	}
	if w.chance(60, "commits") {
		w.leader.log = append(w.leader.log, logEntry{w.term})
	}
	for _, r := range w.targets {
		if r == w.leader || r.down || r.paused > 0 || r.lingers || !w.chance(50, "receives") {
			continue
		}
		r.log = slices.Clone(w.leader.log)
		if n := len(r.log); n > 0 && r.log[n-1].term == w.term && (len(w.ackedLogs) == 0 || n > len(w.ackedLogs[len(w.ackedLogs)-1])) {
			w.ackedLogs = append(w.ackedLogs, ackedLog(slices.Clone(r.log)))
		}
	}
}

// runPlatform receives due requests and applies due promotions.
func (w *simulation) runPlatform() {
	for i := 0; i < len(w.calls); {
		c := w.calls[i]
		if c.dueAt.After(w.now) {
			i++
			continue
		}
		w.calls = slices.Delete(w.calls, i, i+1)
		if c.accepted {
			w.applyPromotion(c.target)
		} else {
			w.acceptRequest(c)
		}
	}
}

// acceptRequest checks the fencing token and the target of a request.
func (w *simulation) acceptRequest(c pendingCall) Outcome {
	if c.token < w.highestToken && !w.unfenced() || w.find(c.target).down {
		return Refused
	}
	w.highestToken = max(w.highestToken, c.token)
	if w.find(c.target) != w.leader {
		w.calls = append(w.calls, pendingCall{target: c.target, dueAt: w.now.Add(w.promotionDelay()), accepted: true})
	}
	return Accepted
}

func (w *simulation) find(id topology.TargetID) *simTarget {
	i := slices.IndexFunc(w.targets, func(t *simTarget) bool { return t.id == id })
	return w.targets[i]
}

func (w *simulation) applyPromotion(id topology.TargetID) {
	t := w.find(id)
	if t.down || t == w.leader {
		return
	}
	for _, a := range w.ackedLogs {
		if len(t.log) < len(a) || !slices.Equal(t.log[:len(a)], a) {
			w.t.Logf("%s", strings.Join(w.trace, "\n"))
			w.t.Fatalf("%s is promoted at %s without an acknowledged commit: it has %d commits, %d are acknowledged",
				id, w.now.Sub(time.Unix(1000, 0)), len(t.log), len(a))
		}
	}
	old := w.leader
	w.leader = t
	w.term++
	w.tracef("%s leads term %d with %d commits", t.id, w.term, len(t.log))
	for _, other := range w.targets {
		switch {
		case other.down:
		case other == old && w.unfenced():
			w.linger(other)
		case !other.lingers:
			other.paused, other.term = 0, w.term
			other.truncateToCommonPrefix(t)
		}
	}
}

// injectFault crashes or restarts a target, or suspends or partitions a host.
func (w *simulation) injectFault() {
	if !w.chance(4, "fault?") {
		return
	}
	switch rapid.IntRange(0, 4).Draw(w.t, "fault") {
	case 0, 1:
		if w.leader.down {
			return
		}
		w.leader.down, w.leader.downSince = true, w.now
		w.tracef("%s crashes with %d commits", w.leader.id, len(w.leader.log))
	case 2:
		r := w.targets[rapid.IntRange(0, len(w.targets)-1).Draw(w.t, "returns")]
		if !r.down || w.now.Sub(r.downSince) < minDowntime {
			return
		}
		r.down, r.paused, r.lingers = false, 0, false
		w.tracef("%s restarts with %d commits", r.id, len(r.log))
		if !w.leader.down {
			r.term = w.term
			r.truncateToCommonPrefix(w.leader)
		}
	case 3:
		h := w.hosts[rapid.IntRange(0, 1).Draw(w.t, "frozen")]
		h.suspendedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 80).Draw(w.t, "for")) * simTick)
	case 4:
		h := w.hosts[rapid.IntRange(0, 1).Draw(w.t, "cut")]
		h.partitioned = !h.partitioned
	}
}

// promotionDelay returns how long an accepted request takes to have its effect.
func (w *simulation) promotionDelay() time.Duration {
	if w.unfenced() {
		return MinEffectDelay + time.Duration(rapid.IntRange(0, 4).Draw(w.t, "effect takes"))*simTick
	}
	return promotionDelay
}

// maxRequestDelay returns the longest delay of an unanswered request. Where leases are
// given, holders don't rely on the platform to refuse late requests.
func (w *simulation) maxRequestDelay() time.Duration {
	if w.unfenced() {
		return maxUnfencedRequestDelay
	}
	return maxRequestDelay
}
