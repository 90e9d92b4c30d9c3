package promotion

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// grantLeases lets hosts have leases on the leader, which has just been proved to
// lead, unless another target may be promoted at any time or the store doesn't know the leader.
func (w *Watcher) grantLeases(ctx context.Context) {
	if w.opts.Leases == nil {
		return
	}
	if w.requests.verified != w.leader || w.otherPending(w.leader) || !w.leaderIsRecorded(ctx) {
		w.opts.Leases.Stop(w.opts.Group)
		return
	}
	w.opts.Leases.Allow(w.opts.Group, w.leader, w.requests.token)
}

// otherPending reports whether a request may still promote another target than id.
func (w *Watcher) otherPending(id topology.TargetID) bool {
	pending := w.requests.pendingTarget(steady.Now())
	return pending != "" && pending != id
}

// mustComplete reports whether a request may still promote another target than the
// leader. The promotion is then completed: until it is settled, replicas must stay paused,
// and where the platform doesn't check tokens, nobody can have a lease. There, mustComplete
// also checks after each acquisition of the duty that the leader is the present one.
func (w *Watcher) mustComplete(ctx context.Context) bool {
	if w.opts.Leases == nil {
		return w.otherPending(w.leader)
	}
	if w.requests.verified != w.leader {
		w.verifyLeader(ctx)
	}
	w.settleRequests(ctx)
	return w.otherPending(w.leader)
}

const (
	// recordTimeout bounds the wait until the store has a record.
	recordTimeout = 100 * time.Millisecond
	// recordRetryInterval is the time until a record is tried again after that failed.
	recordRetryInterval = 200 * time.Millisecond
)

// recordedOrder returns the target that the holder before may have requested to promote.
// Where the platform checks tokens, requests aren't recorded, but made void: see
// voidEarlierRequests.
func (w *Watcher) recordedOrder() topology.TargetID {
	if w.opts.Leases == nil {
		return ""
	}
	return w.opts.Duty.Leadership(w.opts.Group).Ordered
}

// recordOrder records that a request for the target is about to be sent, so that a
// later holder knows of it, also if no host remembers it. It returns false if the request
// must not be sent.
func (w *Watcher) recordOrder(ctx context.Context, target topology.TargetID) bool {
	if w.opts.Leases == nil {
		return true
	}
	w.requests.noteSent(target, steady.Now())
	if w.record(ctx, target) && steady.Now().Sub(w.lastTickAt) <= suspendedAfter {
		return true
	}
	w.requests.noteSettled() // nothing was sent
	return false
}

// record records the leader and the target that may be promoted. It reports whether the
// store has the record.
func (w *Watcher) record(ctx context.Context, ordered topology.TargetID) bool {
	now := steady.Now()
	if now.Before(w.recordAfter) {
		return false
	}
	state := duty.Leadership{Leader: w.leader, Term: w.leaderTerm, Ordered: ordered}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := w.opts.Duty.Record(ctx, w.opts.Group, state); err != nil {
		w.recordAfter = now.Add(recordRetryInterval)
		w.opts.Log.Info("the store does not have the record of the group's state", "group", w.opts.Group, "ordered", ordered, "error", err.Error())
		return false
	}
	w.recorded = state
	return true
}

// leaderIsRecorded reports whether the store has the record of the leader, and tries to write
// it otherwise. A holder that follows could take a leader before it, which leads on, for the
// present one.
func (w *Watcher) leaderIsRecorded(ctx context.Context) bool {
	isRecorded := func() bool { return w.recorded.Leader == w.leader && w.recorded.Term == w.leaderTerm }
	return isRecorded() || w.record(ctx, w.requests.pendingTarget(steady.Now())) && isRecorded()
}

// noteEffect records that a promoted target leads, and grants leases on it.
func (w *Watcher) noteEffect(ctx context.Context, target topology.TargetID) {
	if w.opts.Leases == nil {
		w.requests.noteEffect()
		return
	}
	w.leaderTerm++
	w.requests.verified = target
	ordered := target
	if w.requests.noteSettled() {
		ordered = ""
	}
	w.record(ctx, ordered)
	w.grantLeases(ctx)
}

// settleRequests records that no request may take effect any more, once that is so.
func (w *Watcher) settleRequests(ctx context.Context) {
	recorded := w.opts.Duty.Leadership(w.opts.Group).Ordered
	if recorded != "" && w.requests.verified == w.leader && w.requests.pendingTarget(steady.Now()) == "" {
		w.requests.unanswered = false
		w.record(ctx, "")
	}
}

// verifyTimeout bounds the question for the leader's term, which waits for a work slot
// behind callers' statements.
const verifyTimeout = 800 * time.Millisecond

// verifyLeader compares the leader, as a new holder found it, with the other targets
// and with the record of earlier holders. A target that was replaced may go on to lead.
func (w *Watcher) verifyLeader(ctx context.Context) {
	pr := w.probers[w.leader]
	if pr == nil {
		return
	}
	status, reach := pr.commandWithin(ctx, verifyTimeout, statement.Status, 0)
	if reach != Answered || !status.Primary {
		w.opts.Log.Info("leader did not tell its term", "group", w.opts.Group, "target", w.leader, "reach", reach)
		return
	}
	view := w.probeReplicas(ctx)
	current := isCurrentLeader(status, &view, w.opts.Duty.Leadership(w.opts.Group).Term)
	w.opts.Log.Info("leader compared with the other targets", "group", w.opts.Group, "target", w.leader, "term", status.Term, "current", current, "members", view.Members)
	if !current {
		w.findOtherLeader(ctx)
		return
	}
	w.requests.verified, w.leaderTerm = w.leader, status.Term
	w.record(ctx, w.requests.pendingTarget(steady.Now()))
}

// isCurrentLeader reports whether no target has a higher term than the leader, and
// none had one when earlier holders recorded recordedTerm.
func isCurrentLeader(leader statement.TargetStatus, v *View, recordedTerm uint64) bool {
	for _, m := range v.Members {
		if m.Reach == Answered && max(m.Status.Term, m.Status.Received.Term) > leader.Term {
			return false
		}
	}
	return leader.Term >= recordedTerm
}

// findOtherLeader looks for a target that leads a later term.
func (w *Watcher) findOtherLeader(ctx context.Context) {
	for id, pr := range w.probers {
		if id != w.leader && w.leadsLaterTerm(ctx, pr) && w.checkLeadership(ctx, id, pr).leads {
			return
		}
	}
}

// leadsLaterTerm reports whether a target other than the last known leader reports that
// it leads a later term. One that leads an earlier term was replaced.
func (w *Watcher) leadsLaterTerm(ctx context.Context, pr *prober) bool {
	known := max(w.leaderTerm, w.opts.Duty.Leadership(w.opts.Group).Term)
	status, reach := pr.command(ctx, statement.Status, 0)
	return reach == Answered && status.Primary && status.Term > known
}

// adoptRecordedLeader makes the target that earlier holders recorded the last known
// leader, after this host acquired the duty.
func (w *Watcher) adoptRecordedLeader() {
	if w.opts.Leases == nil || w.leaderTerm > 0 {
		return
	}
	if recorded := w.opts.Duty.Leadership(w.opts.Group); recorded.Leader != "" && w.probers[recorded.Leader] != nil {
		w.leader, w.leaderTerm = recorded.Leader, recorded.Term
	}
}
