package promotion

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	restInterval = 100 * time.Millisecond // between looks at a leader that serves
	busyInterval = 20 * time.Millisecond  // between steps of an attempt
	tidyInterval = 2 * time.Second        // between looks for pauses left behind; each takes a work slot
	silentLooks  = 2                      // looks without an answer that count as the leader's silence
	lookAgain    = 30 * time.Millisecond  // after the first sign of death
	reportsCount = 800 * time.Millisecond // how long a host's report counts; it dials anew about as often
	reportsFirm  = 500 * time.Millisecond // how long a host must have reported before it counts: no remains of a cut
	// effectPending is how long an accepted order may take to have its effect.
	effectPending = 2 * time.Second
	// leaderKnownFor is how old this host's own proof of the last leader may be
	// for a new holder to take it for the one that failed.
	leaderKnownFor = 15 * time.Second
	effectTimeout  = 2500 * time.Millisecond // for an accepted promotion to take effect; it takes some hundred ms
	pauseBetween   = 1 * time.Second         // between a promotion's effect and the next one
	// holdLogInterval is the time between log lines about the same hold.
	holdLogInterval = 1 * time.Second
	frozenAfter     = 1 * time.Second // a tick so late means that the host was suspended
)

// Duty is this host's hold on a group's duty.
type Duty interface {
	Token(topology.GroupID) (token uint64, mine bool)
	Renew(ctx context.Context, id topology.GroupID) error
	// PendingUntil returns until when an order of the holder before may still
	// take effect.
	PendingUntil(topology.GroupID) time.Time
}

// Contact tells whether this host may still act as a holder.
type Contact interface {
	// Connected tells whether hosts of most failure domains answered lately, so
	// that no other host can have taken the duty without this one's knowledge.
	Connected() bool
}

// Options configures a Watcher.
type Options struct {
	Group    topology.GroupID
	Name     string // of this host, for the platform
	Dialer   statement.Dialer
	Parse    statement.StatusParser
	Promoter Promoter
	Duty     Duty
	Contact  Contact
	Catalog  *catalog.Store
	Belief   *group.Group
	// Hosts returns how many hosts are live.
	Hosts func() int
	Log   logr.Logger
}

// Watcher keeps a group led while this host holds the group's duty.
type Watcher struct {
	opts Options
	eyes map[topology.TargetID]*eye
	wake chan struct{}

	leader   topology.TargetID // proved last
	leaderAt time.Time         // when, on the steady clock
	settled  time.Time         // when the last promotion took effect
	tidied   time.Time
	ticked   time.Time
	token    uint64            // under which this host holds the duty, 0: it doesn't
	resumeAt time.Time         // no pause may be ended before: an order may still be carried out
	ordered  topology.TargetID // by the last order
	tainted  bool              // that order got no answer and may still be carried out
	started  time.Time         // of the present attempt, zero: there is none
	reason   string            // of it
	heldFor  string            // reason of the last hold that was logged
	heldAt   time.Time

	mu      sync.Mutex
	reports map[topology.HostID]report
}

// report is another host's word that the leader is silent to it.
type report struct {
	target topology.TargetID
	first  time.Time // of the reports since then none was long missing
	at     time.Time // of the last one
}

// NewWatcher returns a watcher that has looked at nothing.
func NewWatcher(opts Options) *Watcher {
	return &Watcher{opts: opts, eyes: map[topology.TargetID]*eye{}, wake: make(chan struct{}, 1), reports: map[topology.HostID]report{}}
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

// Run looks until ctx ends. It does nothing while another host holds the duty.
func (w *Watcher) Run(ctx context.Context) {
	defer w.close()
	for {
		wait := restInterval
		if token, mine := w.opts.Duty.Token(w.opts.Group); mine {
			w.hold(token)
			wait = w.tick(ctx)
		} else {
			w.close()
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-time.After(wait):
		}
	}
}

// hold notes that this host holds the duty. When it begins to, an order of the
// holder before may still be carried out, and the pauses that it rests on must
// stay.
func (w *Watcher) hold(token uint64) {
	if w.token == 0 && token > firstToken {
		w.resumeAt = steady.Now().Add(doubtFor)
	}
	w.token = token
}

// firstToken is that of a duty which nobody held before.
const firstToken = 1

func (w *Watcher) close() {
	w.token = 0
	w.forget()
}

// forget drops what was seen.
func (w *Watcher) forget() {
	for id, e := range w.eyes {
		e.drop()
		delete(w.eyes, id)
	}
	w.leader = ""
}

// tick looks once and takes a step. It returns when to look again.
func (w *Watcher) tick(ctx context.Context) time.Duration {
	now := steady.Now()
	if !w.ticked.IsZero() && now.Sub(w.ticked) > frozenAfter {
		w.opts.Log.Info("host was suspended or very late", "group", w.opts.Group, "late_ms", now.Sub(w.ticked).Milliseconds())
		w.forget() // connections and what was seen over them are old
	}
	w.ticked = now
	members := w.refresh()
	if len(members) == 0 {
		return restInterval
	}
	serves, reach := w.lookAtLeader(ctx)
	replace, reason := w.judge(serves, reach)
	if !serves {
		w.clearReports() // they may be of the same cut, and outlast it
	}
	if !replace {
		w.started = time.Time{}
		if !serves {
			return lookAgain
		}
		w.tidy(ctx)
		return restInterval
	}
	if w.started.IsZero() || reason != w.reason {
		w.opts.Log.Info("leader is to be replaced", "group", w.opts.Group, "target", w.leader, "reason", reason)
	}
	if w.started.IsZero() {
		w.started = now
	}
	w.reason = reason
	return w.attempt(ctx, serves)
}

// refresh follows the register.
func (w *Watcher) refresh() []catalog.Member {
	members, vanished := w.opts.Catalog.Holding(w.opts.Group)
	known := map[topology.TargetID]bool{}
	for _, m := range members {
		known[m.Target.ID] = true
		e := w.eyes[m.Target.ID]
		if e != nil && e.target.Addr == m.Target.Addr {
			e.target, e.vanished = m.Target, vanished[m.Target.ID]
			continue
		}
		if e != nil {
			e.drop()
		}
		w.eyes[m.Target.ID] = &eye{target: m.Target, dialer: w.opts.Dialer, parse: w.opts.Parse}
	}
	for id, e := range w.eyes {
		if !known[id] {
			e.drop()
			delete(w.eyes, id)
		}
	}
	return members
}

// lookAtLeader asks who leads, the target that led last before the others.
func (w *Watcher) lookAtLeader(ctx context.Context) (serves bool, reach Reach) {
	if id, ago := w.opts.Belief.LastLeader(); w.leader == "" && ago < leaderKnownFor {
		w.leader = id
	}
	if e := w.eyes[w.leader]; e != nil {
		p := w.prove(ctx, w.leader, e)
		if p.leads {
			return true, Answered
		}
		reach = p.reach
		if p.reach == Silent {
			e.silent++
		}
	}
	for id, e := range w.eyes {
		if id == w.leader || reach == Silent && e.target.Leaving {
			continue
		}
		if w.prove(ctx, id, e).leads {
			return true, Answered
		}
	}
	return false, reach
}

// prove asks one target whether it leads and passes the proof on.
func (w *Watcher) prove(ctx context.Context, id topology.TargetID, e *eye) proof {
	p := e.prove(ctx, group.Proof())
	if !p.leads {
		return p
	}
	if w.leader != id {
		w.opts.Log.Info("leader seen", "group", w.opts.Group, "target", id, "position", p.position.String())
	}
	w.leader, w.leaderAt = id, p.sent
	w.opts.Belief.NoteLeading(id, p.sent, &statement.Answer{Position: p.position, HasPosition: true})
	for _, other := range w.eyes {
		if !other.deadSince.IsZero() && other.logSince.IsZero() && p.sent.After(other.deadSince) {
			other.logSince = p.position
		}
	}
	return p
}

// judge tells whether the leader is to be replaced.
func (w *Watcher) judge(serves bool, reach Reach) (replace bool, reason string) {
	if !w.settled.IsZero() && steady.Now().Sub(w.settled) < pauseBetween {
		return false, ""
	}
	e := w.eyes[w.leader]
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
	case reach == Dead || reach == Gone:
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
	for id, e := range w.eyes {
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

// tidy looks now and then at the others: for pauses that an attempt left behind,
// and for deaths, after which a position of the leader counts.
func (w *Watcher) tidy(ctx context.Context) {
	now := steady.Now()
	if now.Sub(w.tidied) < tidyInterval {
		return
	}
	w.tidied = now
	view := w.look(ctx)
	view.LeaderServes = true
	if now.After(w.resumeAt) {
		w.perform(ctx, Next(view))
	}
}

// attempt takes the next step to replace the leader.
func (w *Watcher) attempt(ctx context.Context, serves bool) time.Duration {
	view := w.look(ctx)
	view.Replace, view.LeaderServes = true, serves
	step := Next(view)
	switch {
	case !w.opts.Contact.Connected():
		step = Hold{Reason: "this host is cut off from most failure domains"}
	case isPromote(step) && steady.Now().Before(w.opts.Duty.PendingUntil(w.opts.Group)):
		step = Hold{Reason: "an earlier holder's order may be under way"}
	}
	w.logStep(step, &view)
	w.perform(ctx, step)
	return busyInterval
}

func isPromote(s Step) bool {
	_, ok := s.(Promote)
	return ok
}

// look asks all targets but the leader for their status, at once.
func (w *Watcher) look(ctx context.Context) View {
	view := View{Leader: w.leader, AckReplicas: w.ackReplicas()}
	now := steady.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, e := range w.eyes {
		if id == w.leader {
			continue
		}
		wg.Go(func() {
			status, reach := e.command(ctx, statement.Status, 0)
			m := Member{ID: id, Leaving: e.target.Leaving, Reach: reach, Status: status, LogSince: e.logSince, MayResume: now.Before(e.doubtUntil)}
			mu.Lock()
			defer mu.Unlock()
			view.Members = append(view.Members, m)
		})
	}
	wg.Wait()
	slices.SortFunc(view.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return view
}

func (w *Watcher) ackReplicas() int {
	if c := w.opts.Catalog.Configuration(); c != nil {
		return c.Groups[w.opts.Group].AckReplicas
	}
	return 1
}

func (w *Watcher) logStep(step Step, view *View) {
	values := []any{"group", w.opts.Group, "leader", w.leader, "since_ms", steady.Now().Sub(w.started).Milliseconds(), "members", view.Members}
	switch s := step.(type) {
	case Hold:
		if s.Reason != w.heldFor || steady.Now().Sub(w.heldAt) > holdLogInterval {
			w.heldFor, w.heldAt = s.Reason, steady.Now()
			w.opts.Log.Info("promotion held", append(values, "reason", s.Reason)...)
		}
	case Pause:
		w.opts.Log.Info("replicas are paused", append(values, "term", s.Term, "targets", s.Targets)...)
	case Promote:
		w.opts.Log.Info("promotion is safe", append(values, "target", s.Target)...)
	}
}

func (w *Watcher) perform(ctx context.Context, step Step) {
	switch s := step.(type) {
	case Resume:
		w.opts.Log.Info("pauses are ended", "group", w.opts.Group, "targets", s.Targets)
		for _, id := range s.Targets {
			w.eyes[id].resume(ctx)
		}
	case Pause:
		var wg sync.WaitGroup
		for _, id := range s.Targets {
			wg.Go(func() { w.eyes[id].command(ctx, statement.Pause, s.Term) })
		}
		wg.Wait()
	case Promote:
		w.promote(ctx, s.Target)
	}
}

// promote gives the order and waits until it has taken effect.
func (w *Watcher) promote(ctx context.Context, target topology.TargetID) {
	if w.tainted && target != w.ordered {
		// An earlier order for another target may still come. It is refused only
		// once a higher token has been seen.
		if err := w.opts.Duty.Renew(ctx, w.opts.Group); err != nil {
			w.opts.Log.Info("promotion held", "group", w.opts.Group, "reason", "an earlier order may still be carried out, and no new token can be had", "error", err.Error())
			return
		}
		w.tainted = false
	}
	token, mine := w.opts.Duty.Token(w.opts.Group)
	if !mine || steady.Now().Sub(w.ticked) > frozenAfter {
		return
	}
	w.ordered = target
	reply := w.opts.Promoter.Promote(ctx, Order{Group: w.opts.Group, Target: target, Holder: w.opts.Name, Token: token})
	values := []any{"group", w.opts.Group, "target", target, "token", token, "since_ms", steady.Now().Sub(w.started).Milliseconds()}
	if reply.Err != nil {
		values = append(values, "error", reply.Err.Error())
	}
	w.opts.Log.Info("promotion ordered", append(values, "outcome", outcomeNames[reply.Outcome])...)
	metrics.GetOrCreateCounter(`nettlewalk_promotions_total{outcome="` + outcomeNames[reply.Outcome] + `"}`).Inc()
	switch reply.Outcome {
	case Accepted:
		w.resumeAt = laterOf(w.resumeAt, steady.Now().Add(effectPending))
		w.awaitEffect(ctx, target)
	case Unanswered:
		w.tainted = true
		w.resumeAt = steady.Now().Add(doubtFor)
	case Refused:
		// Either another host used a higher token or the target isn't running.
		if err := w.opts.Duty.Renew(ctx, w.opts.Group); err != nil {
			w.opts.Log.Info("duty not renewed", "group", w.opts.Group, "error", err.Error())
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

var outcomeNames = [...]string{Accepted: "accepted", Refused: "refused", NotDone: "not_done", Unanswered: "unanswered"}

// awaitEffect waits until the promoted target leads.
func (w *Watcher) awaitEffect(ctx context.Context, target topology.TargetID) {
	began := steady.Now()
	e := w.eyes[target]
	for ctx.Err() == nil && steady.Now().Sub(began) < effectTimeout {
		if w.prove(ctx, target, e).leads {
			w.settled = steady.Now()
			w.opts.Log.Info("promotion took effect", "group", w.opts.Group, "target", target, "took_ms", w.settled.Sub(began).Milliseconds())
			metrics.GetOrCreateHistogram("nettlewalk_promotion_seconds").Update(w.settled.Sub(w.started).Seconds())
			return
		}
		time.Sleep(busyInterval)
	}
	w.opts.Log.Info("promotion had no effect yet", "group", w.opts.Group, "target", target)
}
