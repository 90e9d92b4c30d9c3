package promotion

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// promote requests the promotion and waits until it has taken effect.
func (w *Watcher) promote(ctx context.Context, target topology.TargetID) {
	if w.requests.needsToken(target) && !w.renewToken(ctx) {
		w.opts.Log.Info("promotion delayed", "group", w.opts.Group, "reason", "an earlier request may still be carried out and renewing the token failed")
		return
	}
	token, held := w.opts.Duty.Token(w.opts.Group)
	if !held || steady.Now().Sub(w.lastTickAt) > suspendedAfter {
		return
	}
	if w.confirmsCommits() && !w.opts.Commits.Order(ctx, w.opts.Group, target) {
		w.opts.Log.Info("promotion delayed", "group", w.opts.Group, "reason", "most voters on the group's commits do not answer")
		return
	}
	if !w.recordOrder(ctx, target) {
		return
	}
	w.requests.noteRequest(target)
	orderedBefore := w.commits.ordered
	w.commits.ordered = true
	w.opts.Duty.NoteRequest(w.opts.Group)
	reply := w.request(ctx, target, token)
	values := []any{"group", w.opts.Group, "target", target, "token", token, "since_ms", steady.Now().Sub(w.attemptStartedAt).Milliseconds()}
	w.opts.Log.Info("promotion requested", append(values, reply.logValues()...)...)
	metrics.GetOrCreateCounter(`nettlewalk_promotions_total{outcome="` + outcomeNames[reply.Outcome] + `"}`).Inc()
	w.requests.noteOutcome(reply.Outcome, steady.Now())
	w.commits.noteOutcome(reply.Outcome, orderedBefore)
	switch reply.Outcome {
	case Accepted:
		w.voiding.noteAccepted(token)
		w.awaitEffect(ctx, target)
	case Refused:
		w.renewToken(ctx) // another host used a higher token, or the target isn't running
	}
}

// request makes one call for the promotion of a target.
func (w *Watcher) request(ctx context.Context, target topology.TargetID, token uint64) Reply {
	return w.opts.Promoter.Promote(ctx, Request{Group: w.opts.Group, Target: target, Holder: w.opts.Name, Token: token, NotAfter: w.lastTickAt.Add(suspendedAfter)})
}

// logValues returns the key-value pairs of log lines on the reply.
func (r *Reply) logValues() []any {
	values := []any{"outcome", outcomeNames[r.Outcome]}
	if r.Err != nil {
		values = append(values, "error", r.Err.Error())
	}
	return values
}

// renewToken gets a higher token for this host. It reports whether that succeeded.
func (w *Watcher) renewToken(ctx context.Context) bool {
	if err := w.opts.Duty.Renew(ctx, w.opts.Group); err != nil {
		w.opts.Log.Info("renewing duty failed", "group", w.opts.Group, "error", err.Error())
		return false
	}
	if token, held := w.opts.Duty.Token(w.opts.Group); held {
		w.requests.noteRenewal(token)
	}
	return true
}

var outcomeNames = [...]string{Accepted: "accepted", Refused: "refused", NotDone: "not_done", Unanswered: "unanswered"}

// awaitEffect waits until the promoted target leads, at most effectTimeout. Until then the
// other replicas must stay paused.
func (w *Watcher) awaitEffect(ctx context.Context, target topology.TargetID) {
	acceptedAt := steady.Now()
	previous, previousPosition := w.leader, w.leaderPosition
	pr := w.probers[target]
	for ctx.Err() == nil && steady.Now().Sub(acceptedAt) < effectTimeout {
		if w.checkLeadership(ctx, target, pr).leads {
			w.lastPromotionAt = steady.Now()
			w.noteEffect(ctx, target)
			w.commits.noteEffect()
			w.maintainCommits(ctx)
			w.opts.Log.Info("promotion took effect", "group", w.opts.Group, "target", target, "took_ms", w.lastPromotionAt.Sub(acceptedAt).Milliseconds(),
				"position", w.leaderPosition.String(), "previous_leader", previous, "previous_position", previousPosition.String())
			metrics.GetOrCreateHistogram("nettlewalk_promotion_seconds").Update(w.lastPromotionAt.Sub(w.attemptStartedAt).Seconds())
			return
		}
		if !w.commits.known {
			w.keepPaused(ctx, target)
		}
		time.Sleep(attemptInterval)
		if now := steady.Now(); now.Sub(w.lastTickAt) <= suspendedAfter {
			w.lastTickAt = now // the wait is no suspension
		}
	}
	w.opts.Log.Info("promotion has not taken effect yet", "group", w.opts.Group, "target", target)
	w.requests.unanswered = true // its effect may still come
	w.commits.settledAt = steady.Now().Add(unresolvedWindow)
}

// keepPaused pauses the replicas that receive commits while the promotion of target is
// under way: a restart ends a pause, and new targets join. The target may lack what they
// have received since. A pause under nextTerm is refused once the target leads.
func (w *Watcher) keepPaused(ctx context.Context, target topology.TargetID) {
	now := steady.Now()
	if now.Sub(w.pausesCheckedAt) < pauseCheckInterval {
		return
	}
	w.pausesCheckedAt = now
	w.syncProbers()
	view := w.probeReplicas(ctx)
	var receiving []topology.TargetID
	for _, m := range view.Members {
		if m.ID != target && m.Reach == Answered && !m.Status.Primary && m.Status.PausedTerm == 0 && m.Status.Term < w.nextTerm {
			receiving = append(receiving, m.ID)
		}
	}
	if len(receiving) == 0 {
		return
	}
	w.opts.Log.Info("replicas receive commits while a promotion is under way", "group", w.opts.Group, "target", target, "receiving", receiving, "term", w.nextTerm, "members", w.memberLogs(view.Members))
	w.perform(ctx, Pause{Term: w.nextTerm, Targets: receiving})
}
