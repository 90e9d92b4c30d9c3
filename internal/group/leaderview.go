package group

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/freshness"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// leaderView is this host's view of which target leads a group. The zero value
// knows no leader.
type leaderView struct {
	leader       topology.TargetID
	lastLeader   topology.TargetID // the target that was most recently proved to lead
	lastLeaderAt time.Time         // when the request that proved lastLeader was sent, by this host or another one
	provedAt     time.Time         // when this host sent the latest request that proved any leader (package steady); never goes back
	leaderSince  time.Time         // when leader was first proved to lead
	lostAt       time.Time         // when the previous leader was found not to lead, zero while a leader is known
	demoted      bool              // the previous leader itself refused to begin a transaction, so another target most likely leads
	anchors      freshness.Anchors
	served       servedWrite
}

// servedWrite is the newest write or commit that succeeded through this host.
type servedWrite struct {
	target   topology.TargetID
	position topology.Position // told with its answer; it may cover later commits
	at       time.Time
}

// logFields describes the write; none if there was no write.
func (s servedWrite) logFields(now time.Time) []any {
	if s.at.IsZero() {
		return nil
	}
	return []any{"served_at", s.target, "served_position", s.position.String(), "served_ms_ago", now.Sub(s.at).Milliseconds()}
}

// recordServedWrite records a write that succeeded at the target.
func (v *leaderView) recordServedWrite(id topology.TargetID, position topology.Position, now time.Time) {
	if position.AtLeast(v.served.position) {
		v.served = servedWrite{target: id, position: position, at: now}
	}
}

// recordLeading records a proof of leadership: the target began a transaction
// that was requested at sent, and reported its position if hasPosition is set.
// It reports whether the leader changed. It ignores a proof that was requested
// before the previous leader was lost, and a proof of another target that was
// requested before the latest proof.
func (v *leaderView) recordLeading(id topology.TargetID, sent time.Time, position topology.Position, hasPosition bool, now time.Time) (changed bool) {
	if sent.Before(v.lostAt) || (id != v.leader && sent.Before(v.provedAt)) {
		return false
	}
	if id != v.leader {
		v.anchors.Forget()
		v.leader, v.leaderSince, changed = id, now, true
	}
	v.provedAt, v.lostAt = laterOf(v.provedAt, sent), time.Time{} // proofs may arrive out of order
	v.recordLastLeader(id, sent)
	if hasPosition {
		v.anchors.RecordLeaderPosition(sent, position)
	}
	return changed
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordLastLeader records which target led when a request was sent.
func (v *leaderView) recordLastLeader(id topology.TargetID, sent time.Time) {
	if sent.After(v.lastLeaderAt) {
		v.lastLeader, v.lastLeaderAt = id, sent
	}
}

// recordNotLeading records that the target doesn't lead, as shown by a request
// that was sent at the time sent. It reports whether the target was the known
// leader. demoted means that the target itself refused to begin a transaction,
// as opposed to not answering.
func (v *leaderView) recordNotLeading(id topology.TargetID, sent, now time.Time, demoted bool) bool {
	if id != v.leader || sent.Before(v.provedAt) {
		return false
	}
	v.leader, v.lostAt, v.demoted = "", now, demoted
	return true
}

// LeaderLoss describes how long a group has been without a leader. The zero value
// means that a leader is known or that none was ever known.
type LeaderLoss struct {
	Duration time.Duration // of a leader that leaves, since it said so
	Demoted  bool          // the previous leader itself refused to begin a transaction
	Leaving  bool          // the leader is known, but takes no new statements
}

// loss returns how long the group has been without a known leader.
func (v *leaderView) loss(now time.Time) LeaderLoss {
	if v.leader != "" || v.lostAt.IsZero() {
		return LeaderLoss{}
	}
	return LeaderLoss{Duration: now.Sub(v.lostAt), Demoted: v.demoted}
}

// lagBackoff controls when a replica that lacked a required position is
// considered for reads again.
type lagBackoff struct {
	retryAt time.Time // the replica counts as lagging until then
	delay   time.Duration
}

const (
	minLagBackoff = 40 * time.Millisecond  // below the usual replication delay
	maxLagBackoff = 640 * time.Millisecond // a replica that is far behind is retried about twice a second
)

// increase doubles the delay after the replica refused a read for lack of a
// position.
func (b *lagBackoff) increase(now time.Time) {
	b.delay = min(max(2*b.delay, minLagBackoff), maxLagBackoff)
	b.retryAt = now.Add(b.delay)
}

// reset clears the backoff after the replica served a read.
func (b *lagBackoff) reset() { *b = lagBackoff{} }
