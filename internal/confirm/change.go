package confirm

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// errNotClosed means that voters that don't answer may still confirm commits.
var errNotClosed = errors.New("voters that don't answer may still confirm commits")

// change is the start of a new epoch.
type change struct {
	from   Electorate
	next   Electorate
	leader Proof
}

// dueChange returns the change of the electorate that is due, or nil.
func (h *Holder) dueChange(t *tenure, e Electorate, leader Proof) *change {
	now := steady.Now()
	if now.Sub(t.chosenAt) < chooseInterval || now.Sub(t.changedAt) < changeInterval {
		return nil
	}
	t.chosenAt = now
	voters := ChooseVoters(e, h.opts.Processes(), MaxVoters)
	if e.SameVoters(voters) && e.Dropped == leader.Dropped {
		return nil
	}
	t.changedAt = now
	c := &change{from: e, next: Electorate{Epoch: e.Epoch + 1, FromTerm: leader.Term, Floor: leader.Position, Dropped: leader.Dropped}, leader: leader}
	copy(c.next.Voters[:], voters)
	return c
}

// drops reports whether targets count no more that may have received commits which were passed on.
func (c *change) drops() bool {
	return slices.ContainsFunc(c.next.DroppedTargets(), func(id topology.TargetID) bool { return !slices.Contains(c.from.DroppedTargets(), id) })
}

// mayChange reports whether the change can be made. Targets are dropped only if others have what they
// may have received, which is found out before commits are held up.
func (h *Holder) mayChange(ctx context.Context, id topology.GroupID, c *change) bool {
	if !c.drops() || h.isReceived(ctx, id, &c.next) {
		return true
	}
	h.opts.Log.Info("silent targets are not dropped", "group", id, "epoch", c.from.Epoch, "targets", c.next.DroppedTargets(), "reason", ErrNotReceived.Error())
	c.next.Dropped = c.from.Dropped
	return !c.from.SameVoters(c.next.Members())
}

// isReceived reports whether replicas that count in an epoch have received its floor.
func (h *Holder) isReceived(ctx context.Context, id topology.GroupID, next *Electorate) bool {
	ctx, cancel := context.WithTimeout(ctx, dropTimeout)
	defer cancel()
	return h.opts.Receipts != nil && h.opts.Receipts.Received(ctx, id, next, next.Floor)
}

// writeOrOpen starts a new epoch. It opens the present voters if that surely failed.
func (h *Holder) writeOrOpen(ctx context.Context, id topology.GroupID, t *tenure, c *change) {
	if failed := h.write(ctx, id, t, c); failed && t.sealed && h.opts.Duty.Electorate(id).Epoch == c.from.Epoch {
		h.open(ctx, id, t, c.from, c.leader.Term)
	}
}

// write seals the voters for good and writes the electorate of the new epoch. It reports
// whether that surely failed.
func (h *Holder) write(ctx context.Context, id topology.GroupID, t *tenure, c *change) (failed bool) {
	ctx, cancel := context.WithTimeout(ctx, ChangeTimeout)
	defer cancel()
	err := h.opts.Duty.RecordElectorate(ctx, id, func(ctx context.Context) (Electorate, error) { return h.prepare(ctx, id, t, c) })
	switch {
	case err == nil:
		h.opts.Log.Info("electorate changed", "group", id, "epoch", c.next.Epoch, "voters", c.next.Members(), "floor", c.next.Floor.String(), "from_term", c.next.FromTerm, "dropped", c.next.DroppedTargets())
		return false
	case errors.Is(err, ErrWriteInDoubt):
		t.inDoubt = c // until the store has this epoch, or another one
	case errors.Is(err, errNotClosed) && t.sealing != nil && t.sealing.closed():
		t.chosenAt, t.changedAt = time.Time{}, time.Time{} // again with the next proof of the leader's position
		return false
	}
	h.opts.Log.Info("electorate not changed", "group", id, "epoch", c.from.Epoch, "error", err.Error())
	return t.inDoubt == nil
}

// prepare seals the voters and returns the electorate to write.
func (h *Holder) prepare(ctx context.Context, id topology.GroupID, t *tenure, c *change) (Electorate, error) {
	if len(c.from.Members()) == 0 {
		c.next.Dropped = c.from.Dropped // nothing has been passed on
		return c.next, nil
	}
	h.seal(ctx, id, t, c.from, c.leader.Term)
	p := t.sealing
	if !p.closed() {
		return Electorate{}, errNotClosed
	}
	// Otherwise the position of the leader after the seal covers what voters recorded.
	if !p.meetsEveryQuorum() && !c.leader.SentAt.After(t.closedAt) {
		return Electorate{}, errNotClosed
	}
	c.next.Floor = p.newest()
	if !p.meetsEveryQuorum() {
		c.next.Floor = topology.Later(c.next.Floor, c.leader.Position)
	}
	if c.drops() && !h.isReceived(ctx, id, &c.next) {
		return Electorate{}, ErrNotReceived
	}
	return c.next, nil
}
