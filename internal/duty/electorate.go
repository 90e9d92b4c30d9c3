package duty

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ErrElectorateChanged is returned if the electorate to record doesn't follow the newest one
// that the store has or that this host knows.
var ErrElectorateChanged = errors.New("the electorate has changed")

// Electorate returns the electorate of the newest known claim on the group's duty. Its
// Epoch is 0 if none was recorded.
func (k *Keeper) Electorate(id topology.GroupID) confirm.Electorate {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims[id].Electorate
}

// RecordElectorate reads the group's claim and replaces its electorate by the one that
// prepare returns, whose epoch must be the one after that in the store. Unlike Record, it
// changes and spreads this host's claim only once the store has the electorate. It returns
// nil if the store has it; the error of prepare; ErrHeldByOther if this host
// doesn't hold the duty or the store has another holder's claim; ErrElectorateChanged if
// another electorate stands in its place, which this host knows then; confirm.ErrWriteInDoubt if it
// isn't known whether the electorate will be written. After any other error it isn't.
func (k *Keeper) RecordElectorate(ctx context.Context, id topology.GroupID, prepare func(context.Context) (confirm.Electorate, error)) error {
	unlock, err := k.lockObject(ctx, id)
	if err != nil {
		return err
	}
	defer unlock()
	k.mu.Lock()
	claim := k.claims[id]
	k.mu.Unlock()
	if !k.isHeldHere(claim) {
		return ErrHeldByOther
	}
	object, stored, err := k.readClaim(ctx, id)
	if err != nil {
		return err
	}
	if !stored.sameTenure(&claim) || stored.Released {
		k.learnRecord(stored)
		return ErrHeldByOther
	}
	known := claim.Electorate.Epoch
	claim = k.mergeStored(claim, stored.Claim)
	if stored.Electorate.Epoch != known {
		return ErrElectorateChanged
	}
	next, err := prepare(ctx)
	if err != nil {
		return err
	}
	claim = k.mergeStored(claim, stored.Claim)
	if stored.Electorate.Epoch+1 != next.Epoch || claim.Electorate.Epoch+1 != next.Epoch {
		return ErrElectorateChanged
	}
	claim.Electorate = next
	claim.Update++
	if object.Value, err = json.Marshal(claimRecord{Claim: claim, Members: k.membersToWrite(claim, stored.Members)}); err != nil {
		return err
	}
	if _, err = k.opts.Store.PutIf(ctx, object); err != nil {
		if err = k.verifyElectorate(ctx, object, next, err); err != nil {
			return err
		}
	}
	k.learnElectorate(claim)
	return nil
}

// verifyElectorate reads the claim back after the write of object, which contains next,
// has failed with cause. It returns nil if the store has next.
func (k *Keeper) verifyElectorate(ctx context.Context, object platform.Object, next confirm.Electorate, cause error) error {
	current, stored, err := k.readClaim(ctx, topology.GroupID(object.Name))
	if err != nil {
		if hadNoEffect(cause) {
			return errors.Wrap(cause, notWritten)
		}
		return fmt.Errorf("%w: %w, then %w", confirm.ErrWriteInDoubt, cause, err)
	}
	k.learnRecord(stored)
	// Versions of different eras don't compare.
	superseded := current.Version != object.Version && k.opts.Store.Era() == object.Era
	switch {
	case stored.Electorate == next:
		return nil
	case stored.Electorate.Epoch >= next.Epoch:
		return fmt.Errorf("%w: %w", ErrElectorateChanged, cause)
	case superseded || hadNoEffect(cause):
		return errors.Wrap(cause, notWritten)
	}
	return fmt.Errorf("%w: %w", confirm.ErrWriteInDoubt, cause)
}

const notWritten = "the electorate was not written"

// hadNoEffect reports whether a write that failed with err surely wasn't and won't be
// carried out.
func hadNoEffect(err error) bool {
	var conflict *platform.ErrConflict
	if errors.As(err, &conflict) {
		return true
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		return false
	}
	switch coded.Code {
	case result.PlatformDown, result.LimitReached, result.BadConfiguration, result.NotFound:
		return true
	}
	return false
}

// learnElectorate adopts the electorate of written, a claim of this host that the store has.
func (k *Keeper) learnElectorate(written Claim) {
	_, held := k.updateOwn(written, func(c *Claim) {
		c.Electorate = newerElectorate(c.Electorate, written.Electorate)
		c.raiseUpdate(written)
	})
	if !held {
		k.Learn(written)
	}
	k.opts.Log.Info("electorate recorded", "group", written.Group, "epoch", written.Electorate.Epoch, "voters", written.Electorate.Members(), "token", written.Token)
}

// mergeStored returns claim, which is of this host, as it may replace stored: with what this
// host recorded since it read claim, with the newer electorate, and with an Update that isn't
// below that of a stored claim of the same tenure, whose write may have been in doubt. This
// host knows the result.
func (k *Keeper) mergeStored(claim, stored Claim) Claim {
	merged, _ := k.updateOwn(claim, func(c *Claim) {
		c.Electorate = newerElectorate(stored.Electorate, c.Electorate)
		if stored.sameTenure(c) {
			c.raiseUpdate(stored)
		}
	})
	return merged
}

// raiseUpdate makes c, which has the newest Leadership, supersede another claim of its
// tenure, unless they have the same Leadership.
func (c *Claim) raiseUpdate(other Claim) {
	if c.Leadership != other.Leadership && c.Update <= other.Update {
		c.Update = other.Update + 1
	}
	c.Update = max(c.Update, other.Update)
}

// updateOwn changes the known claim of the tenure of claim and returns it. If another claim
// is known by now, it returns claim with the change and false.
func (k *Keeper) updateOwn(claim Claim, change func(*Claim)) (changed Claim, known bool) {
	k.mu.Lock()
	c := k.claims[claim.Group]
	if !c.sameTenure(&claim) {
		k.mu.Unlock()
		change(&claim)
		return claim, false
	}
	old := c
	if change(&c); c != old {
		k.setClaim(c)
	}
	k.mu.Unlock()
	if c != old {
		k.opts.OnChange(c.Group)
	}
	return c, true
}

// newerElectorate returns the electorate with the higher epoch, a if they are equal.
func newerElectorate(a, b confirm.Electorate) confirm.Electorate {
	if b.Epoch > a.Epoch {
		return b
	}
	return a
}

// newest returns the claim known, which was read earlier, with what has been learned or
// recorded under it since.
func (k *Keeper) newest(known Claim) Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.claims[known.Group]
	if c.sameTenure(&known) && c.supersedes(&known) {
		return c
	}
	known.Electorate = newerElectorate(known.Electorate, c.Electorate)
	return known
}

// lockObject locks the group's object in the store against other writes of this process,
// which would otherwise lose what they write to each other.
func (k *Keeper) lockObject(ctx context.Context, id topology.GroupID) (unlock func(), err error) {
	k.mu.Lock()
	lock := k.objectLocks[id]
	if lock == nil {
		lock = make(chan struct{}, 1)
		k.objectLocks[id] = lock
	}
	k.mu.Unlock()
	select {
	case lock <- struct{}{}:
		return func() { <-lock }, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for another write of the duty claim")
	}
}
