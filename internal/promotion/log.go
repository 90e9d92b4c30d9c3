package promotion

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var reachNames = [...]string{
	NotProbed: "not_probed", Answered: "answered", Dead: "dead", Unresponsive: "unresponsive",
	Overloaded: "overloaded", Reassigned: "reassigned", UnregisteredTarget: "unregistered_target",
}

// String returns the name used in logs.
func (r Reach) String() string { return reachNames[r] }

// memberLog is a Member as it appears in the log, with what its reach rests on.
type memberLog struct {
	ID             topology.TargetID `json:"id"`
	Reach          string            `json:"reach"`
	Leaving        bool              `json:"leaving,omitempty"`
	Primary        bool              `json:"primary,omitempty"`
	Term           uint64            `json:"term,omitempty"`
	Received       string            `json:"received,omitempty"`
	PausedTerm     uint64            `json:"paused_term,omitempty"`
	MayResume      bool              `json:"may_resume,omitempty"`
	LogSince       string            `json:"log_since,omitempty"`
	UnregisteredMS int64             `json:"unregistered_ms,omitempty"` // since it left the register
	PresumedMS     int64             `json:"presumed_ms,omitempty"`     // since it was found that no host reaches it
	EndedMS        int64             `json:"ended_ms,omitempty"`        // since it was first proved to have ended
}

// memberLogs describes the members of a view.
func (w *Watcher) memberLogs(members []Member) []memberLog {
	now := steady.Now()
	list := make([]memberLog, 0, len(members))
	for _, m := range members {
		l := memberLog{ID: m.ID, Reach: m.Reach.String(), Leaving: m.Leaving, MayResume: m.MayResume}
		if m.Reach == Answered {
			l.Primary, l.Term, l.PausedTerm, l.Received = m.Status.Primary, m.Status.Term, m.Status.PausedTerm, m.Status.Received.String()
		}
		if !m.LogSince.IsZero() {
			l.LogSince = m.LogSince.String()
		}
		if pr := w.probers[m.ID]; pr != nil {
			l.UnregisteredMS = pr.unregisteredFor.Milliseconds()
			l.PresumedMS, l.EndedMS = sinceMS(pr.presumedSince, now), sinceMS(pr.endedSince, now)
		}
		list = append(list, l)
	}
	return list
}

// logStep logs a step with the inputs that decided it and their ages.
func (w *Watcher) logStep(step Step, view *View) {
	values := append([]any{"group", w.opts.Group, "leader", w.leader, "since_ms", steady.Now().Sub(w.attemptStartedAt).Milliseconds(), "members", w.memberLogs(view.Members)}, w.knowledgeLog()...)
	if view.Sealing.Closed {
		values = append(values, "confirmed", view.Sealing.Floor.String(), "confirmed_known", view.Sealing.Known)
	}
	switch s := step.(type) {
	case Wait:
		w.noteDelay(s, view)
		w.logWait(s.Reason, append(values, "waits_for", s.For, "voters_ended", view.Sealing.Ended))
	case Seal:
		if len(view.Sealing.Unanswered) > 0 {
			const reason = "voters that do not answer may still confirm commits"
			w.noteDelay(Wait{Reason: reason}, view)
			w.logWait(reason, append(values, "unanswered", view.Sealing.Unanswered))
		}
	case Pause:
		w.opts.Log.Info("pausing replicas", append(values, "term", s.Term, "targets", s.Targets)...)
	case Promote:
		w.delay.end()
		w.opts.Log.Info("promotion is safe", append(values, "target", s.Target)...)
	}
}

// logWait logs why a promotion is delayed, once a reason and at intervals, and for how long it
// has been.
func (w *Watcher) logWait(reason string, values []any) {
	values = append(values, "delayed_ms", sinceMS(w.delay.startedAt, steady.Now()))
	if reason != w.lastWaitReason || steady.Now().Sub(w.lastWaitLoggedAt) > waitLogInterval {
		w.lastWaitReason, w.lastWaitLoggedAt = reason, steady.Now()
		w.opts.Log.Info("promotion delayed", append(values, "reason", reason)...)
	}
}

// knowledgeLog returns what the list of members and the leader are known from: the
// register's position and the age of its newest read, and the leader's last proof.
func (w *Watcher) knowledgeLog() []any {
	now := steady.Now()
	_, register := w.opts.Catalog.Versions()
	fields := []any{"register", register.Revision, "register_era", register.Era, "held_ms", sinceMS(w.heldSince, now), "leader_position", w.leaderPosition.String()}
	if read := w.opts.Catalog.ReadTimes().Registry; !read.IsZero() {
		fields = append(fields, "register_read_ms_ago", now.Sub(read).Milliseconds())
	}
	if !w.leaderProvedAt.IsZero() {
		fields = append(fields, "leader_proved_ms_ago", now.Sub(w.leaderProvedAt).Milliseconds())
	}
	return fields
}

// sinceMS returns the milliseconds since a time, 0 if it is not set.
func sinceMS(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t).Milliseconds()
}
