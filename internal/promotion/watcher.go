package promotion

import (
	"context"
	"sync"
	"time"

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
	// Ordered is told of each order before it is given.
	Ordered(topology.GroupID)
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
	opts    Options
	probers map[topology.TargetID]*prober
	wake    chan struct{}

	leader   topology.TargetID // proved last
	leaderAt time.Time         // when, on the steady clock
	settled  time.Time         // when the last promotion took effect
	tidied   time.Time
	ticked   time.Time
	orders   orders
	started  time.Time // of the present attempt, zero: there is none
	reason   string    // of it
	heldFor  string    // reason of the last hold that was logged
	heldAt   time.Time

	mu      sync.Mutex
	reports map[topology.HostID]report
}

// NewWatcher returns a watcher that has looked at nothing.
func NewWatcher(opts Options) *Watcher {
	return &Watcher{opts: opts, probers: map[topology.TargetID]*prober{}, wake: make(chan struct{}, 1), reports: map[topology.HostID]report{}}
}

// Run looks until ctx ends. It does nothing while another host holds the duty.
func (w *Watcher) Run(ctx context.Context) {
	defer w.close()
	for {
		wait := restInterval
		if token, mine := w.opts.Duty.Token(w.opts.Group); mine {
			w.orders.hold(token, steady.Now())
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

func (w *Watcher) close() {
	w.orders.drop()
	w.forget()
}

// forget drops what was seen.
func (w *Watcher) forget() {
	for id, e := range w.probers {
		e.drop()
		delete(w.probers, id)
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

// stepsAtOnce bounds the steps of one look at the leader: pauses, then the order,
// and one more for a replica that came back meanwhile.
const stepsAtOnce = 3

// attempt takes the next step to replace the leader, and after pauses the one
// after that: whether they suffice doesn't depend on the leader, and another look
// at a silent one would take as long as a proof may.
func (w *Watcher) attempt(ctx context.Context, serves bool) time.Duration {
	for range stepsAtOnce {
		step := w.step(ctx, serves)
		w.perform(ctx, step)
		if _, paused := step.(Pause); !paused {
			break
		}
	}
	return busyInterval
}

// step looks at the others and decides.
func (w *Watcher) step(ctx context.Context, serves bool) Step {
	view := w.look(ctx)
	view.Replace, view.LeaderServes = true, serves
	step := permitted(Next(view), w.standing(), steady.Now())
	w.logStep(step, &view)
	return step
}

// standing is asked for right before a step: a host that was suspended has heard
// of nobody since, and may have lost the duty meanwhile.
func (w *Watcher) standing() standing {
	return standing{connected: w.opts.Contact.Connected(), pendingUntil: w.opts.Duty.PendingUntil(w.opts.Group)}
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
			w.probers[id].resume(ctx)
		}
	case Pause:
		var wg sync.WaitGroup
		for _, id := range s.Targets {
			wg.Go(func() { w.probers[id].command(ctx, statement.Pause, s.Term) })
		}
		wg.Wait()
	case Promote:
		w.promote(ctx, s.Target)
	}
}
