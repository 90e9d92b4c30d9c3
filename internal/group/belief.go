package group

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/freshness"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// belief is what is known of a group's leader. The zero value knows nothing.
type belief struct {
	leader  topology.TargetID
	last    topology.TargetID // the latest one that led
	lastAt  time.Time         // when the request was sent that proved it, here or at another host
	asOf    time.Time         // when the request was sent that proved it, on the steady clock
	since   time.Time         // when it was first proved
	lost    time.Time         // when the last leader was found not to lead, zero while one does
	deposed bool              // it said so itself, so that another leads most likely
	anchors freshness.Anchors
}

// leads takes a proof: the target began a transaction that was asked for at
// sent, and named a position. It tells whether the leader changed. A proof that
// is older than what refuted it counts for nothing.
func (b *belief) leads(id topology.TargetID, sent time.Time, p topology.Position, known bool, now time.Time) (changed bool) {
	if sent.Before(b.lost) || (id != b.leader && sent.Before(b.asOf)) {
		return false
	}
	if id != b.leader {
		b.anchors.Forget()
		b.leader, b.since, changed = id, now, true
	}
	b.asOf, b.lost = sent, time.Time{}
	b.heardLast(id, sent)
	if known {
		b.anchors.LearnLeading(sent, p)
	}
	return changed
}

// heardLast takes which target led when a request was sent.
func (b *belief) heardLast(id topology.TargetID, sent time.Time) {
	if sent.After(b.lastAt) {
		b.last, b.lastAt = id, sent
	}
}

// refuted takes the news that a target doesn't lead, from a request that was
// sent at that time, and tells whether it was believed to. deposed: by its own
// word, not by its silence.
func (b *belief) refuted(id topology.TargetID, sent, now time.Time, deposed bool) bool {
	if id != b.leader || sent.Before(b.asOf) {
		return false
	}
	b.leader, b.lost, b.deposed = "", now, deposed
	return true
}

// Loss is how long a group has been without a known leader. The zero value: it
// has one, or never had.
type Loss struct {
	For     time.Duration
	Deposed bool // the last leader said itself that it leads no more
}

func (b *belief) loss(now time.Time) Loss {
	if b.leader != "" || b.lost.IsZero() {
		return Loss{}
	}
	return Loss{For: now.Sub(b.lost), Deposed: b.deposed}
}

// lag remembers that a replica lacked a position.
type lag struct {
	until time.Time // not asked before
	pause time.Duration
}

const (
	firstLagPause = 40 * time.Millisecond  // less than a usual replication delay
	lastLagPause  = 640 * time.Millisecond // a replica far behind is asked about twice a second
)

// lagged notes a refusal for lack of a position.
func (l *lag) lagged(now time.Time) {
	l.pause = min(max(2*l.pause, firstLagPause), lastLagPause)
	l.until = now.Add(l.pause)
}

// caughtUp notes a read that the replica served.
func (l *lag) caughtUp() { *l = lag{} }
