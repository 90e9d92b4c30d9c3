package duty

import (
	"context"
	"encoding/json"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Leadership returns what the holders of the group's duty recorded last.
func (k *Keeper) Leadership(id topology.GroupID) Leadership {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims[id].Leadership
}

// Record records the group's state for the holders that follow. It spreads the record
// to other hosts at once and returns when the store has it, or with an error. It does
// nothing if this host doesn't hold the duty or the state is known; otherwise it calls
// Options.OnChange, as Learn does.
func (k *Keeper) Record(ctx context.Context, id topology.GroupID, state Leadership) error {
	k.mu.Lock()
	claim := k.claims[id]
	if !k.isHeldHere(claim) || claim.Leadership == state {
		k.mu.Unlock()
		return nil
	}
	claim.Leadership = state
	claim.Update++
	k.setClaim(claim)
	k.mu.Unlock()
	k.opts.OnChange(id)
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
	_, err = k.opts.Store.PutIf(ctx, object)
	return err
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
