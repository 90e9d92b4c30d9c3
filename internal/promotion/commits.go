package promotion

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// sealPatience is how long commits wait for the candidate to catch up while the leader
	// serves: a few round trips.
	sealPatience = 300 * time.Millisecond
	// sealRetryInterval is the time until the voters may be sealed again after that.
	sealRetryInterval = 1 * time.Second
)

// commitState is a watcher's state of the group's voters.
type commitState struct {
	sealing    bool // the attempt seals the voters
	known      bool // they have told which commits callers have heard of
	sealedTerm uint64
	sealedAt   time.Time
	notBefore  time.Time // the voters may be sealed again
	ordered    bool      // a request was sent whose effect hasn't been seen
	// settledAt is when an accepted request that showed no effect can't have one any more.
	settledAt time.Time
	// covering is View.Covering for the voters that were closed at coveringSince.
	covering      topology.Position
	coveringSince time.Time

	leader     topology.TargetID // whose term is known
	leaderTerm uint64
}

// forgetLeader forgets the leader's term, before another target may have led.
func (s *commitState) forgetLeader() { s.leader, s.leaderTerm = "", 0 }

// startSealing records that the voters are to be asked with each view of the attempt.
func (s *commitState) startSealing(term uint64, now time.Time) {
	if !s.sealing {
		s.sealing, s.sealedTerm, s.sealedAt = true, term, now
	}
}

// noteOutcome records the outcome of a request. mayStill is set if an earlier one may still
// be carried out.
func (s *commitState) noteOutcome(outcome Outcome, mayStill bool) {
	s.ordered = mayStill || outcome == Accepted || outcome == Unanswered
}

// noteEffect records that the target of the last request leads.
func (s *commitState) noteEffect() {
	s.ordered = false
	s.forgetLeader()
}

// confirmsCommits reports whether callers hear of commits only after voters have recorded
// them.
func (w *Watcher) confirmsCommits() bool { return w.opts.Commits != nil && w.ackReplicas() > 0 }

// addSealing adds what the voters have answered to the view of an attempt.
func (w *Watcher) addSealing(ctx context.Context, v *View) {
	if !w.confirmsCommits() {
		return
	}
	v.Confirmed, v.MaySeal = true, !steady.Now().Before(w.commits.notBefore)
	if w.commits.sealing {
		v.Sealing = w.opts.Commits.Seal(ctx, w.opts.Group, w.commits.sealedTerm)
	}
	w.commits.known = v.Sealing.Known
	if v.Sealing.Closed && !v.Sealing.Known {
		v.Covering = w.coveringPosition(v.LeaderServes, v.Sealing.ClosedAt)
		v.RegisterRead = w.readRegisterSince(ctx, v.Sealing.ClosedAt)
		if v.Covering.IsZero() {
			w.checkLogs(ctx, v)
		}
	}
}

// coveringPosition returns the position of the first target that was proved to lead after the
// voters were closed, zero if none was. Where a replaced leader leads on until it is demoted, only
// one that was compared with the other targets counts.
func (w *Watcher) coveringPosition(serves bool, closedAt time.Time) topology.Position {
	s := &w.commits
	if !s.coveringSince.Equal(closedAt) {
		s.covering, s.coveringSince = topology.Position{}, closedAt
	}
	isPresent := serves && (w.opts.Leases == nil || w.requests.verified == w.leader)
	if s.covering.IsZero() && isPresent && w.leaderProvedAt.After(closedAt) {
		s.covering = w.leaderPosition
	}
	return s.covering
}

// readRegisterSince reports whether the store was read for the group's targets after closedAt.
// It reads it if that is due. A target that joined lately, or has started again, may be known
// to the store only.
func (w *Watcher) readRegisterSince(ctx context.Context, closedAt time.Time) bool {
	if w.opts.ReadRegister == nil {
		return true
	}
	w.registerReads.start(ctx, w.opts.ReadRegister, steady.Now())
	w.registerReads.wait(ctx)
	return w.registerReads.succeededSince(closedAt)
}

// openAfterPatience lets commits be confirmed if the leader serves and the promotion can't
// go on. An earlier attempt, or another host, may have sealed the voters.
func (w *Watcher) openAfterPatience(ctx context.Context, step Step, serves bool) {
	now := steady.Now()
	if _, waits := step.(Wait); !waits || !serves {
		return
	}
	if w.commits.sealing {
		if now.Sub(w.commits.sealedAt) < sealPatience {
			return
		}
		w.commits.sealing, w.commits.known, w.commits.notBefore = false, false, now.Add(sealRetryInterval)
	}
	w.maintainCommits(ctx)
}

// maintainCommits lets commits of the leader, which has just been proved to lead, be
// confirmed, unless another target may be promoted at any time.
func (w *Watcher) maintainCommits(ctx context.Context) {
	if !w.confirmsCommits() || !w.opts.Duty.Settled(w.opts.Group) || w.otherPending(w.leader) || !w.membersAreStored(ctx) {
		return
	}
	if w.opts.Leases != nil && (w.requests.verified != w.leader || !w.leaderIsRecorded(ctx)) {
		return // it may have been replaced, or a later holder would not know of it
	}
	needsSettled := w.opts.Commits.Maintain(ctx, w.opts.Group, w.commitProof(w.leaderProvedAt, w.termOfLeader(ctx)))
	if now := steady.Now(); now.Sub(w.lastTickAt) <= maxMaintainTime {
		w.lastTickAt = now // the wait for the leader, the voters and the store is no suspension
	}
	if needsSettled || w.ownRequestNamesLeader() {
		w.voidEarlierRequests(ctx)
	}
}

// commitProof returns the proof, requested at provedAt, that the leader, which leads the term,
// may not be replaced by a request of this host or of an earlier holder, as far as that is
// known.
func (w *Watcher) commitProof(provedAt time.Time, term uint64) confirm.Proof {
	settled := w.requests.mayResume(provedAt) && !provedAt.Before(w.commits.settledAt)
	hadEffect := w.leader == w.requests.lastTarget && term > w.commits.sealedTerm
	w.commits.ordered = w.commits.ordered && !settled && !hadEffect
	if provedAt.Before(w.opts.Duty.PendingUntil(w.opts.Group)) || w.voiding.mayPromoteOther(w.leader, provedAt) {
		return confirm.Proof{Target: w.leader, Position: w.leaderPosition, Term: term, SentAt: provedAt, Dropped: w.droppedTargets()}
	}
	return confirm.Proof{
		Target: w.leader, Position: w.leaderPosition, Term: term, SentAt: provedAt,
		NotOrdered: !w.commits.ordered, Settled: settled, Dropped: w.droppedTargets(),
	}
}

// maxMaintainTime bounds maintainCommits: the question for the leader's term and a change of
// the voters.
const maxMaintainTime = verifyTimeout + confirm.ChangeTimeout + 200*time.Millisecond

// termOfLeader returns the term in which the leader leads, or 0 if it doesn't tell. The
// position of a leader that has just been promoted is of the term before.
func (w *Watcher) termOfLeader(ctx context.Context) uint64 {
	s := &w.commits
	if s.leader == w.leader && s.leaderTerm >= w.leaderPosition.Term {
		return s.leaderTerm
	}
	pr := w.probers[w.leader]
	if pr == nil {
		return 0
	}
	status, reach := pr.commandWithin(ctx, verifyTimeout, statement.Status, 0)
	if reach != Answered || !status.Primary {
		return 0
	}
	s.leader, s.leaderTerm = w.leader, status.Term
	return status.Term
}
