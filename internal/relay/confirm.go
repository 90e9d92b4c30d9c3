package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

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
	// AwaitReady waits until commits of the group can be confirmed, at most until the
	// deadline, and reports whether they can.
	AwaitReady(ctx context.Context, id topology.GroupID, deadline time.Time) bool
	// Confirm returns nil once every later promotion of the group is sure to keep the
	// position, or an error if that can't be confirmed by the deadline.
	Confirm(ctx context.Context, id topology.GroupID, position topology.Position, deadline time.Time) error
}

// slowConfirmation is how long a confirmation takes that is logged with its request.
const slowConfirmation = 5 * time.Millisecond

// errNoPosition is the error of a commit whose answer doesn't tell its position.
var errNoPosition = errors.New("the target's answer has no position")

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
