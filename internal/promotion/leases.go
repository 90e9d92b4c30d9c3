package promotion

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// grantLeases lets hosts have leases on the leader, which has just been proved to
// lead, unless a promotion may take effect that this host doesn't know of.
func (w *Watcher) grantLeases() {
	if w.opts.Leases == nil {
		return
	}
	now := steady.Now()
	if !w.requests.verified || w.requests.mayBePending(w.leader, now) {
		w.opts.Leases.Stop(w.opts.Group)
		return
	}
	w.opts.Leases.Allow(w.opts.Group, w.leader, w.requests.token)
}

// promotionMayBePending reports whether a request of this host or of an earlier holder
// may still promote another target than the leader, on a platform that doesn't check
// tokens. Nobody can have a lease meanwhile, so the promotion is completed. After each
// acquisition of the duty it checks that the leader is the present one.
func (w *Watcher) promotionMayBePending(ctx context.Context) bool {
	if w.opts.Leases == nil {
		return false
	}
	if !w.requests.verified {
		switch w.verifyLeader(ctx) {
		case leadershipCurrent:
			w.requests.verified = true
		case leadershipCurrentNow:
			w.requests.verified = steady.Now().After(w.opts.Duty.PendingUntil(w.opts.Group))
		case leadershipSuperseded:
			w.supersede(ctx, w.leader)
		case leadershipDisputed:
			return true
		}
	}
	return w.requests.mayBePending(w.leader, steady.Now())
}

// leadership is the result of comparing the leader with the other targets.
type leadership uint8

const (
	leadershipUnknown leadership = iota // the leader didn't tell its term
	leadershipCurrent
	leadershipCurrentNow // an earlier holder's request may still take effect
	leadershipSuperseded // another target has a higher term
	leadershipDisputed   // an earlier holder may have ordered the promotion of another target
)

func (l leadership) String() string {
	return [...]string{"unknown", "current", "current now", "superseded", "disputed"}[l]
}

// verifyTimeout bounds the question for the leader's term, which waits for a work slot
// behind callers' statements.
const verifyTimeout = 800 * time.Millisecond

// verifyLeader compares the leader, as a new holder found it, with the other targets.
// A target that was replaced may go on to lead.
func (w *Watcher) verifyLeader(ctx context.Context) leadership {
	pr := w.probers[w.leader]
	if pr == nil {
		return leadershipUnknown
	}
	status, reach := pr.commandWithin(ctx, verifyTimeout, statement.Status, 0)
	if reach != Answered || !status.Primary {
		w.opts.Log.Info("leader did not tell its term", "group", w.opts.Group, "target", w.leader, "reach", reach)
		return leadershipUnknown
	}
	view := w.probeReplicas(ctx)
	result := compareLeader(status, &view, w.requests.predecessorPending(steady.Now()))
	w.opts.Log.Info("leader compared with the other targets", "group", w.opts.Group, "target", w.leader, "term", status.Term, "result", result.String(), "members", view.Members)
	return result
}

// compareLeader compares the status of the leader with those of the other targets.
// earlierRequest tells whether a request of an earlier holder may still be carried
// out. A holder sends a request only after it paused all other replicas, so if all
// answer and none is paused, no request is left.
func compareLeader(leader statement.TargetStatus, v *View, earlierRequest bool) leadership {
	result := leadershipCurrent
	for _, m := range v.Members {
		if m.Reach != Answered {
			if m.Reach != Reassigned && result == leadershipCurrent && earlierRequest {
				result = leadershipCurrentNow
			}
			continue
		}
		if m.Status.Term > leader.Term || m.Status.Received.Term > leader.Term {
			return leadershipSuperseded
		}
		if earlierRequest && m.Status.PausedTerm > 0 {
			result = leadershipDisputed
		}
	}
	return result
}

// supersede drops the leader and looks for the one of the highest term.
func (w *Watcher) supersede(ctx context.Context, old topology.TargetID) {
	w.opts.Log.Info("leader was replaced by an earlier holder", "group", w.opts.Group, "target", old)
	for id, pr := range w.probers {
		if id != old && w.checkLeadership(ctx, id, pr).leads {
			return
		}
	}
	w.leader = old
}
