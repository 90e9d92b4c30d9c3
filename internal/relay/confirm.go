package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Confirmations makes sure that promotions keep a commit before it is passed on. See
// package confirm.
type Confirmations interface {
	// Ready reports whether commits of the group can be confirmed at present, as far as
	// this host knows.
	Ready(id topology.GroupID) bool
	// Starting reports whether no voters of the group are known yet, because the fleet has
	// just started.
	Starting(id topology.GroupID) bool
	// AwaitReady waits until commits of the group can be confirmed, at most until the
	// deadline, and reports whether they can.
	AwaitReady(ctx context.Context, id topology.GroupID, deadline time.Time) bool
	// Confirm returns nil once every later promotion of the group is sure to keep the
	// position, or an error if that can't be confirmed by the deadline.
	Confirm(ctx context.Context, id topology.GroupID, position topology.Position, deadline time.Time) error
}

const (
	// electorateChangeTime is how long commits usually can't be confirmed while the voters
	// of a group change.
	electorateChangeTime = 50 * time.Millisecond
	// slowConfirmation is how long a confirmation takes that is logged with its request.
	slowConfirmation = 5 * time.Millisecond
)

// unconfirmableDetail explains that a write or commit wasn't sent.
const unconfirmableDetail = "commits of the group can't be confirmed now"

// errNoPosition is the error of a commit whose answer doesn't tell its position.
var errNoPosition = errors.New("the target's answer has no position")

// commitsReady reports whether the request may be sent to the leader: it doesn't write, or
// its commit can be confirmed.
func (r *request) commitsReady() bool {
	commits := r.session.server.opts.Commits
	return commits == nil || !r.writes || commits.Ready(r.route.Group)
}

// awaitCommits waits until commitsReady, at most until the deadline, and reports whether it
// is. A request that may not be queued doesn't wait.
func (r *request) awaitCommits(ctx context.Context, deadline time.Time) bool {
	if r.commitsReady() {
		return true
	}
	if deadline.After(r.deadline) {
		deadline = r.deadline
	}
	if r.noWait || !time.Now().Before(deadline) {
		return false
	}
	r.addStep("", "waiting until commits can be confirmed")
	return r.session.server.opts.Commits.AwaitReady(ctx, r.route.Group, deadline)
}

// confirmableLeader returns the leader, and sets r.unconfirmable if it can't be sent the
// request's write.
func (r *request) confirmableLeader(ctx context.Context) (topology.TargetID, *share.Pool, bool) {
	r.unconfirmable = false
	id, pool, known := r.group.Leader()
	if !known || r.commitsReady() {
		return id, pool, known
	}
	if r.awaitCommits(ctx, time.Now().Add(electorateChangeTime)) {
		return r.group.Leader() // it may have been replaced meanwhile
	}
	r.unconfirmable = true
	return id, pool, known
}

// waitConfirmableLeader waits for a leader to which the request may be sent for as long as
// the request can still be served, or returns a refusal. The arguments are what is known of
// the leader.
func (r *request) waitConfirmableLeader(ctx context.Context, id topology.TargetID, pool *share.Pool, known bool) (topology.TargetID, *share.Pool, *statement.Answer) {
	deadline := time.Now().Add(maxLeaderWait(&r.route, r.group.LeaderLoss()))
	if commits := r.session.server.opts.Commits; commits != nil && commits.Starting(r.route.Group) {
		deadline = r.deadline
	}
	for {
		if !known {
			if id, pool, known = r.waitLeader(ctx, deadline); !known {
				refusal := r.session.refusal(statement.Busy, r.noLeaderDetail())
				return "", nil, &refusal
			}
		}
		if r.unconfirmable = !r.commitsReady(); !r.unconfirmable {
			return id, pool, nil
		}
		if !r.awaitCommits(ctx, deadline) {
			refusal := r.refuseUnconfirmable()
			return "", nil, &refusal
		}
		id, pool, known = r.group.Leader() // it may have been replaced meanwhile
	}
}

func (r *request) refuseUnconfirmable() statement.Answer {
	return r.session.refusal(statement.Busy, unconfirmableDetail)
}

// confirm returns the answer to pass on for a commit that the target acknowledged: the
// target's, or that the outcome is in doubt if a promotion could lose the commit.
func (r *request) confirm(ctx context.Context, id topology.TargetID, a *statement.Answer) statement.Answer {
	commits := r.session.server.opts.Commits
	if commits == nil {
		return *a
	}
	began, err := steady.Now(), errNoPosition
	if a.HasPosition {
		err = commits.Confirm(ctx, r.route.Group, a.Position, r.deadline)
	}
	took := steady.Now().Sub(began)
	commitConfirmationSeconds.Update(took.Seconds())
	commitConfirmations[err == nil].Inc()
	if step := confirmationStep(took, err); step != "" {
		r.addStep(id, step)
	}
	if err != nil {
		return r.session.refusal(statement.InDoubt, "the commit is acknowledged, but not confirmed: "+err.Error())
	}
	return *a
}

// confirmationStep describes a confirmation for the request's log, if it failed or was slow.
func confirmationStep(took time.Duration, err error) string {
	switch {
	case err != nil:
		return fmt.Sprintf("commit not confirmed in %d ms: %v", took.Milliseconds(), err)
	case took >= slowConfirmation:
		return fmt.Sprintf("commit confirmed in %d ms", took.Milliseconds())
	}
	return ""
}
