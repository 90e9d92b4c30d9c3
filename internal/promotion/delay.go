package promotion

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Delay tells operators why a promotion that is due isn't requested.
type Delay struct {
	Group  topology.GroupID  `json:"group"`
	Leader topology.TargetID `json:"leader"` // to be replaced
	Cause  string            `json:"cause"`  // why it is to be replaced
	Reason string            `json:"reason"` // why no step is safe now
	// SinceMS is how long the promotion has been delayed, for this reason and others, without
	// a request in between.
	SinceMS int64 `json:"since_ms"`
	// WaitsFor lists the targets of which each has to answer and to be registered, or to be
	// proved to have ended, unless the leader returns. It is empty if the reason isn't theirs.
	WaitsFor []DelayingTarget `json:"waits_for,omitempty"`
	// VotersEnded are the voters that have ended, Unanswered those that don't answer.
	VotersEnded int               `json:"voters_ended,omitempty"`
	Unanswered  []topology.HostID `json:"unanswered,omitempty"`

	startedAt time.Time
}

// DelayingTarget is a target that a promotion waits for.
type DelayingTarget struct {
	memberLog
	Addr   string          `json:"addr"`
	Domain topology.Domain `json:"domain"`
}

// delayState has the present delay of a watcher's group. It is safe for concurrent use, but for
// startedAt, which the watcher's goroutine alone uses.
type delayState struct {
	startedAt time.Time // zero: no promotion is delayed

	mu      sync.Mutex
	present *Delay // nil: no promotion is delayed
}

// end records that no promotion is due any more, or that one is requested.
func (s *delayState) end() {
	s.startedAt = time.Time{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present = nil
}

func (s *delayState) set(d *Delay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present = d
}

// noteDelay records why the promotion can't go on.
func (w *Watcher) noteDelay(wait Wait, view *View) {
	now := steady.Now()
	if w.delay.startedAt.IsZero() {
		w.delay.startedAt = now
	}
	d := &Delay{
		Group: w.opts.Group, Leader: w.leader, Cause: w.attemptReason, Reason: wait.Reason, startedAt: w.delay.startedAt,
		VotersEnded: view.Sealing.Ended, Unanswered: view.Sealing.Unanswered,
	}
	for _, l := range w.memberLogs(view.Members) {
		if pr := w.probers[l.ID]; pr != nil && slices.Contains(wait.For, l.ID) {
			d.WaitsFor = append(d.WaitsFor, DelayingTarget{memberLog: l, Addr: pr.target.Addr, Domain: pr.target.Domain})
		}
	}
	w.delay.set(d)
}

// Delays returns the promotions that this host, as the holder of their groups' duties, can't
// request now, the longest delay first.
func (ws *Watchers) Delays() []Delay {
	now := steady.Now()
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var list []Delay
	for _, w := range ws.watchers {
		w.delay.mu.Lock()
		if d := w.delay.present; d != nil {
			delay := *d
			delay.SinceMS = now.Sub(d.startedAt).Milliseconds()
			list = append(list, delay)
		}
		w.delay.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b Delay) int { return cmp.Or(cmp.Compare(b.SinceMS, a.SinceMS), cmp.Compare(a.Group, b.Group)) })
	return list
}
