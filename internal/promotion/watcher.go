package promotion

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	idleInterval       = 100 * time.Millisecond // between probes of a leader that serves
	unheldInterval     = 2 * time.Second        // between checks for the duty where changes of its holder are announced
	attemptInterval    = 20 * time.Millisecond  // between steps of a promotion attempt
	pauseCheckInterval = 100 * time.Millisecond // between checks of the pauses while a promotion is under way; each takes a work slot
	maintainInterval   = 2 * time.Second        // between probes of the replicas while the leader serves; a probe takes a work slot
	missedProbesLimit  = 2                      // consecutive unanswered probes after which the leader counts as unresponsive
	recheckInterval    = 30 * time.Millisecond  // until the next probe while no target leads and no attempt runs
	reportValidity     = 800 * time.Millisecond // how long a host's report counts; hosts redial about as often
	reportMinDuration  = 500 * time.Millisecond // how long a host must keep reporting before it counts; rules out remains of a healed partition
	// lastLeaderMaxAge is how old the last proof of leadership may be for a new
	// holder to assume that its target is the leader to be replaced.
	lastLeaderMaxAge  = group.LastLeaderMaxAge
	effectTimeout     = 2500 * time.Millisecond // for an accepted promotion to take effect; it takes some hundred ms
	promotionCooldown = 1 * time.Second         // between the effect of a promotion and the next attempt
	// waitLogInterval is the time between log lines with the same reason to wait.
	waitLogInterval = 1 * time.Second
	suspendedAfter  = 1 * time.Second // a tick later than this means that the host was suspended
)

// Duty provides this host's state as the holder of group duties. See duty.Keeper.
type Duty interface {
	// Token returns the group's fencing token and whether this host holds the duty.
	Token(topology.GroupID) (token uint64, held bool)
	// Renew gets a higher token. It fails if another host holds the duty.
	Renew(ctx context.Context, id topology.GroupID) error
	// NoteRequest is called before each promotion request.
	NoteRequest(topology.GroupID)
	// Settled reports whether hosts in most failure domains have been answering
	// for so long that no other host can have acquired the duty without this
	// host's knowledge.
	Settled(topology.GroupID) bool
	// PendingUntil returns the time until which a promotion request of the
	// previous holder may still take effect.
	PendingUntil(topology.GroupID) time.Time
	// Members returns the possible commit holders that this host or the holders of the
	// duty before it recorded.
	Members(topology.GroupID) []duty.Member
	// RecordMembers records them for later holders. It returns when the store has them, or
	// with an error.
	RecordMembers(ctx context.Context, id topology.GroupID, members []duty.Member) error
	// MembersStored reports whether the store lists each of the targets as one whose commits
	// count.
	MembersStored(id topology.GroupID, targets []topology.TargetID) bool
	// Leadership returns what the holders of the duty recorded last.
	Leadership(topology.GroupID) duty.Leadership
	// Record records the group's state for later holders. It spreads the record at
	// once and returns when the store has it, or with an error.
	Record(ctx context.Context, id topology.GroupID, state duty.Leadership) error
}

// Leases grants leases on the leadership of groups. See lease.Grantor.
type Leases interface {
	// Allow lets this host grant leases on a target that was just proved to lead,
	// while it holds the duty under the token.
	Allow(id topology.GroupID, target topology.TargetID, token uint64)
	// Stop ends granting.
	Stop(topology.GroupID)
	// Revoke ends granting and the leases that were granted. It doesn't wait.
	Revoke(topology.GroupID)
	// Outstanding returns the time until which leases may be valid though granting
	// has stopped.
	Outstanding(topology.GroupID) time.Time
}

// Commits seals and opens the voters that record commits before callers hear of them. See
// confirm.Holder.
type Commits interface {
	// Seal stops the confirmation of commits. term is a lower bound of the leader's term.
	Seal(ctx context.Context, id topology.GroupID, term uint64) confirm.Sealing
	// Order is called before a request for a promotion. The request must not be sent if it
	// returns false.
	Order(ctx context.Context, id topology.GroupID, target topology.TargetID) bool
	// Maintain lets commits of the leader be confirmed again, if no other target may be
	// promoted, and replaces voters that have ended. It reports whether that waits for a proof
	// with Settled.
	Maintain(ctx context.Context, id topology.GroupID, leader confirm.Proof) (needsSettled bool)
	// Dropped returns the targets that the newest known electorate dropped.
	Dropped(topology.GroupID) []topology.TargetID
}

// Options configures a Watcher.
type Options struct {
	Group     topology.GroupID
	Name      string // name of this host, as the platform knows it
	Dialer    statement.Dialer
	Parse     statement.StatusParser
	Promoter  Promoter
	Duty      Duty
	Catalog   *catalog.Store
	GroupView *group.Group // what this host knows about the group's leader
	// Leases grants hosts leases on the leader; nil if targets stop leading when
	// they are replaced and the platform checks fencing tokens.
	Leases Leases
	// Commits lets hosts pass on commits of the leader; nil if they need nobody's leave.
	Commits Commits
	// ReadRegister reads the register of targets from the store into Catalog. It is called
	// before a promotion, because a target that has just joined may confirm commits before
	// other hosts tell of it. nil: the register is as other hosts told it.
	ReadRegister func(ctx context.Context) error
	// ReadHeartbeat reads a target's entry from the store, if logs decide a promotion. nil: targets
	// don't lose their logs.
	ReadHeartbeat ReadHeartbeat
	// EntryLifetime is how long a target's entry in the register stands without a heartbeat, at most.
	EntryLifetime time.Duration
	// DutyAnnounced tells that Watchers.DutyChanged is called whenever a duty may have
	// another holder. The watcher then checks seldom whether this host holds it.
	DutyAnnounced bool
	// Hosts returns the number of live hosts, including this host.
	Hosts func() int
	// AskHosts asks other hosts whether they reach a target, for operators. If it is nil, no
	// target is presumed to have ended.
	AskHosts AskHosts
	Log      logr.Logger
}

// Watcher replaces a failed leader of its group while this host holds the group's
// duty.
type Watcher struct {
	opts    Options
	probers map[topology.TargetID]*prober
	wake    chan struct{} // makes Run probe at once

	leader           topology.TargetID // last target proved to lead
	leaderTerm       uint64            // lower bound of its term; 0: not known
	leaderProvedAt   time.Time         // when the proof was requested, on the clock of package steady
	leaderPosition   topology.Position // in the latest proof
	leaderGoal       topology.Position // see View.LeaderPosition
	leaderRefuted    bool              // leader answered the latest probe and denied that it leads
	heldSince        time.Time         // when this host was first seen to hold the duty without a break
	lastPromotionAt  time.Time         // when the last promotion took effect
	maintainedAt     time.Time
	lastTickAt       time.Time
	requests         requestState
	attemptStartedAt time.Time // start of the current promotion attempt, zero if there is none
	pausedAt         time.Time // when the current attempt last paused replicas, or its start
	attemptReason    string    // why the current attempt replaces the leader
	lastWaitReason   string    // reason of the last Wait step that was logged
	lastWaitLoggedAt time.Time
	delay            delayState

	missingSince    map[topology.TargetID]time.Time // when recorded targets were first seen to be missing in the register
	recording       atomic.Bool                     // a write of the members is under way
	nextTerm        uint64                          // term in which the target of the next request will lead
	pausesCheckedAt time.Time                       // while a promotion is under way
	registerReads   registerReads
	heartbeats      heartbeatReads
	commits         commitState
	voiding         voiding
	recorded        duty.Leadership // what the store has, as far as this host wrote it
	recordAfter     time.Time       // the store is not written to before this time

	mu      sync.Mutex
	reports map[topology.HostID]report
}

// NewWatcher returns a Watcher that has not probed any target.
func NewWatcher(opts Options) *Watcher {
	return &Watcher{opts: opts, requests: requestState{checksTokens: opts.Leases == nil}, probers: map[topology.TargetID]*prober{}, wake: make(chan struct{}, 1), reports: map[topology.HostID]report{}, missingSince: map[topology.TargetID]time.Time{}}
}

// Run probes the group and performs steps until ctx is done. It does nothing while
// another host holds the duty.
func (w *Watcher) Run(ctx context.Context) {
	defer w.close()
	for {
		wait := idleInterval
		if token, held := w.opts.Duty.Token(w.opts.Group); held {
			if w.heldSince.IsZero() {
				w.heldSince = steady.Now()
			}
			w.requests.noteToken(token, w.recordedOrder(), steady.Now())
			wait = w.tick(ctx)
		} else {
			w.close()
			if w.opts.DutyAnnounced {
				wait = unheldInterval
			}
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
	w.requests.clearToken()
	w.recorded = duty.Leadership{}
	w.voiding.failures, w.voiding.retryAt = 0, time.Time{}
	w.heldSince = time.Time{}
	clear(w.missingSince)
	if w.opts.Leases != nil {
		w.opts.Leases.Stop(w.opts.Group)
	}
	w.delay.end()
	w.reset()
}

// reset closes all connections and discards the probe results.
func (w *Watcher) reset() {
	for id, pr := range w.probers {
		pr.closeConn()
		delete(w.probers, id)
	}
	w.leader, w.leaderTerm = "", 0
	w.commits.forgetLeader()
}

// tick probes the group once and performs a step. It returns the time until the next
// tick.
func (w *Watcher) tick(ctx context.Context) time.Duration {
	now := steady.Now()
	if !w.lastTickAt.IsZero() && now.Sub(w.lastTickAt) > suspendedAfter {
		w.opts.Log.Info("host was suspended or delayed", "group", w.opts.Group, "late_ms", now.Sub(w.lastTickAt).Milliseconds())
		w.reset() // connections and probe results are stale
	}
	w.lastTickAt = now
	members := w.syncProbers()
	if len(members) == 0 {
		return idleInterval
	}
	serves, reach := w.probeLeader(ctx)
	replace, reason := w.shouldReplace(serves, reach)
	if serves && w.mustComplete(ctx) {
		replace, reason = true, "an earlier request may still promote another target"
	}
	if !serves {
		w.clearReports() // they may stem from the same network partition and outlast it
	}
	if !replace {
		w.attemptStartedAt = time.Time{}
		w.delay.end()
		if !serves {
			return recheckInterval
		}
		w.grantLeases(ctx)
		w.maintainCommits(ctx)
		w.maintainReplicas(ctx)
		return idleInterval
	}
	if w.attemptStartedAt.IsZero() || reason != w.attemptReason {
		w.opts.Log.Info("replacing leader", "group", w.opts.Group, "target", w.leader, "reason", reason)
	}
	if w.attemptStartedAt.IsZero() {
		w.attemptStartedAt, w.pausedAt, w.leaderGoal = now, now, topology.Position{}
		w.commits.sealing, w.commits.known = false, false
	}
	w.attemptReason = reason
	if serves && reason != silentToOthers && w.leaderGoal.IsZero() && w.leaderProvedAt.After(w.pausedAt) {
		w.leaderGoal = w.leaderPosition
	}
	return w.attempt(ctx, serves)
}

// redialEnded makes the next probes dial the targets that seemed to have ended and weren't
// dialed just now. It reports whether there are any. One that has returned while the
// register wasn't heard of receives commits again.
func (w *Watcher) redialEnded() bool {
	now, any := steady.Now(), false
	for _, pr := range w.probers {
		if now.Before(pr.redialAt) {
			pr.redialAt, any = time.Time{}, true
		}
	}
	return any
}

// maxStepsPerTick bounds the steps after one probe of the leader: the pauses, the
// promotion, one more for a replica that came back in between, one for a change of the
// register, and one for targets that are dialed again.
const maxStepsPerTick = 5

// attempt performs the next step to replace the leader. After a Pause step it goes on
// with the following step without another probe of the leader: whether the pauses
// suffice doesn't depend on the leader, and a probe of an unresponsive leader takes
// until its timeout.
func (w *Watcher) attempt(ctx context.Context, serves bool) time.Duration {
	redialed := false
	for range maxStepsPerTick {
		step := w.decideStep(ctx, serves)
		_, isPromotion := step.(Promote)
		_, isPause := step.(Pause)
		_, isSeal := step.(Seal)
		asksVoters := isSeal && !w.commits.sealing
		// A candidate that has every confirmed commit is safe whatever targets have joined.
		if (isPromotion || isPause) && !w.commits.known {
			w.registerReads.start(ctx, w.opts.ReadRegister, steady.Now())
		}
		if isPromotion && !w.commits.known {
			changed := w.registerChanged(ctx)
			if !redialed {
				redialed = true
				changed = w.redialEnded() || changed
			}
			if changed {
				continue
			}
		}
		w.perform(ctx, step)
		if !asksVoters && (!isPause || serves) {
			break // while the leader serves, its position after the pauses counts
		}
	}
	return attemptInterval
}

// registerChanged waits for the read of the register that the attempt has begun and
// reports whether it brought changes since the latest probe.
func (w *Watcher) registerChanged(ctx context.Context) bool {
	w.registerReads.wait(ctx)
	before := w.membership()
	w.syncProbers()
	return !maps.Equal(before, w.membership())
}

// membership returns the incarnations of the possible commit holders.
func (w *Watcher) membership() map[topology.TargetID]int64 {
	members := make(map[topology.TargetID]int64, len(w.probers))
	for id, pr := range w.probers {
		members[id] = pr.incarnation
	}
	return members
}

// decideStep probes the other targets and decides the next step.
func (w *Watcher) decideStep(ctx context.Context, serves bool) Step {
	view := w.probeReplicas(ctx)
	view.Replace, view.LeaderServes, view.LeaderTerm, view.LeaderPosition = true, serves, w.leaderTerm, w.leaderGoal
	if pending := w.requests.pendingTarget(steady.Now()); w.opts.Leases != nil || view.mayComplete(pending) {
		view.Ordered = pending
	}
	view.MayOverride = w.requests.checksTokens
	view.MayEndPauses = w.requests.mayResume(steady.Now())
	w.nextTerm = view.logTerm() + 1
	w.addSealing(ctx, &view)
	wanted := NextStep(view)
	if w.opts.Leases != nil {
		if _, isPromotion := wanted.(Promote); isPromotion {
			w.opts.Leases.Revoke(w.opts.Group)
		} else if serves {
			w.grantLeases(ctx) // callers need the leader while the attempt can't go on
		}
	}
	step := authorize(wanted, w.currentAuthority(), steady.Now())
	w.logStep(step, &view)
	w.openAfterPatience(ctx, step, serves)
	return step
}

// currentAuthority tells whether this host may act as the holder. It must be called right
// before a step: a host that was suspended has heard from no other host since, and may
// have lost the duty.
func (w *Watcher) currentAuthority() authority {
	a := authority{settled: w.opts.Duty.Settled(w.opts.Group), pendingUntil: w.opts.Duty.PendingUntil(w.opts.Group)}
	if w.opts.Leases != nil {
		a.leasesUntil = laterTime(w.requests.predecessorLeases, w.opts.Leases.Outstanding(w.opts.Group))
	}
	return a
}

func (w *Watcher) perform(ctx context.Context, step Step) {
	switch s := step.(type) {
	case Resume:
		w.opts.Log.Info("resuming replicas", "group", w.opts.Group, "targets", s.Targets)
		for _, id := range s.Targets {
			w.probers[id].resume(ctx)
		}
	case Pause:
		var wg sync.WaitGroup
		for _, id := range s.Targets {
			wg.Go(func() { w.probers[id].command(ctx, statement.Pause, s.Term) })
		}
		wg.Wait()
		w.pausedAt, w.leaderGoal = steady.Now(), topology.Position{}
	case Seal:
		w.commits.startSealing(max(s.Term, w.commits.leaderTerm, w.leaderPosition.Term), steady.Now())
	case Demote:
		w.opts.Log.Info("demoting replaced primaries", "group", w.opts.Group, "term", s.Term, "targets", s.Targets)
		for _, id := range s.Targets {
			w.probers[id].command(ctx, statement.Demote, s.Term)
		}
	case Promote:
		w.promote(ctx, s.Target)
	}
}
