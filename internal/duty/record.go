package duty

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Leadership returns what the holders of the group's duty recorded last.
func (k *Keeper) Leadership(id topology.GroupID) Leadership {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims[id].Leadership
}

// RecordsNoOrder reports whether the claim on the group's duty shows that no request for a
// promotion may still be carried out. A store that came back from an older copy may have lost
// the record of one.
func (k *Keeper) RecordsNoOrder(id topology.GroupID) bool {
	return k.Leadership(id).Ordered == "" && k.opts.Store.Era() == 0
}

// Record records the group's state for the holders that follow. It spreads the record
// to other hosts at once and returns nil when the store has it. ErrHeldByOther means that this
// host doesn't hold the duty; after any other error the store may or may not have the record.
// It calls Options.OnChange if the state wasn't known, as Learn does.
func (k *Keeper) Record(ctx context.Context, id topology.GroupID, state Leadership) error {
	k.mu.Lock()
	claim := k.claims[id]
	held, known := k.isHeldHere(claim), claim.Leadership == state
	isStored := known && k.stored[id] == storedState{state, claim.Token} && k.writtenIn[id] >= k.opts.Store.Era()
	if held && !known {
		claim.Leadership = state
		claim.Update++
		k.setClaim(claim)
	}
	k.mu.Unlock()
	switch {
	case !held:
		return ErrHeldByOther
	case isStored:
		return nil
	case !known:
		k.opts.OnChange(id)
	}
	unlock, err := k.lockObject(ctx, id)
	if err != nil {
		return err
	}
	defer unlock()
	object, stored, err := k.readClaim(ctx, id)
	if err != nil {
		return err
	}
	if !stored.sameTenure(&claim) && stored.Token >= claim.Token { // a lower token: the store has lost this host's claim
		k.learnRecord(stored)
		return ErrHeldByOther
	}
	claim = k.mergeStored(claim, stored.Claim)
	if object.Value, err = json.Marshal(claimRecord{Claim: claim, Members: k.membersToWrite(claim, stored.Members)}); err != nil {
		return err
	}
	if _, err = k.opts.Store.PutIf(ctx, object); err != nil {
		return err
	}
	k.noteStored(claim)
	if claim.Leadership != state {
		return errSuperseded
	}
	return nil
}

// errSuperseded means that another record of this host has taken the place of one that was
// being written.
var errSuperseded = errors.New("another record was made meanwhile")

// storedState is the state of a group that the store has in a claim of this host.
type storedState struct {
	Leadership
	token uint64
}

// noteStored records that the store has a claim of this host.
func (k *Keeper) noteStored(claim Claim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stored[claim.Group] = storedState{claim.Leadership, claim.Token}
}

// recordWritten records the era of the store in which this host's claim was written. If
// the era has risen meanwhile, the claim is written again.
func (k *Keeper) recordWritten(id topology.GroupID, era uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writtenIn[id] = era
}

// claimsToRewrite returns the claims of this host that the store may have lost, since it
// came back from an older copy. They are written again before another host could take
// the duty: hosts know the holder from each other, not from the store.
func (k *Keeper) claimsToRewrite(now time.Time) []Claim {
	era := k.opts.Store.Era()
	if era == 0 {
		return nil // the store never came back from a copy
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Claim
	for _, id := range k.groups {
		c := k.claims[id]
		if k.leaving || !k.isHeldHere(c) || k.writtenIn[id] >= era || now.Before(k.retryAt[id]) {
			continue
		}
		k.retryAt[id] = now.Add(retryInterval)
		list = append(list, c)
	}
	return list
}

// rewrite writes a claim of this host again, with a token of the store's new era.
func (k *Keeper) rewrite(ctx context.Context, held Claim) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.opts.Log.Info("writing duty claim again", "group", held.Group, "token", held.Token, "era", k.opts.Store.Era(), "reason", "the store came back from an older copy")
	if err := k.writeClaim(ctx, held); err != nil {
		k.opts.Log.Info("writing duty claim again failed", "group", held.Group, "error", err.Error())
	}
}
