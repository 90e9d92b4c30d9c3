package duty

import (
	"context"
	"encoding/json"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// claimsToHandOver returns the claims that this host should release because it is
// in the failure domain of the group's primary.
func (k *Keeper) claimsToHandOver(now time.Time) []Claim {
	held := k.heldGroups()
	if len(held) == 0 {
		return nil
	}
	live, connected := k.opts.Hosts.Live(), k.opts.Hosts.Connected()
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Claim
	for _, id := range held {
		if !k.isHeldHere(k.claims[id]) || now.Before(k.retryAt[id]) {
			continue
		}
		domain := k.opts.PrimaryDomain(id)
		outside, _ := splitByDomain(live, domain)
		state := handOverState{inPrimaryDomain: domain == k.opts.Domain, hostsOutside: len(outside), connected: connected, heldFor: now.Sub(k.heldSince[id])}
		if requestedAt, ok := k.lastRequestAt[id]; ok {
			state.hasRequested, state.sinceRequest = true, now.Sub(requestedAt)
		}
		if shouldHandOver(state) {
			k.retryAt[id] = now.Add(minHoldTime) // gives other hosts time to acquire the duty
			list = append(list, k.claims[id])
		}
	}
	return list
}

// heldGroups returns the groups whose duty this host holds.
func (k *Keeper) heldGroups() []topology.GroupID {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []topology.GroupID
	for _, id := range k.groups {
		if k.isHeldHere(k.claims[id]) {
			list = append(list, id)
		}
	}
	return list
}

// handOver releases a duty so that a host in another failure domain can acquire it.
func (k *Keeper) handOver(ctx context.Context, c Claim) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.opts.Log.Info("handing over duty", "group", c.Group, "token", c.Token, "reason", "the primary is in this host's failure domain", "domain", k.opts.Domain)
	if err := k.releaseClaim(ctx, c); err != nil {
		k.opts.Log.Info("releasing duty failed", "group", c.Group, "error", err.Error())
	}
}

// Release gives up all duties of this host, so that other hosts can acquire them
// without waiting for TakeoverAfter.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	for _, c := range k.Claims() {
		if !k.isHeldHere(c) {
			continue
		}
		if err := k.releaseClaim(ctx, c); err != nil {
			k.opts.Log.Info("releasing duty failed", "group", c.Group, "error", err.Error())
		}
	}
}

func (k *Keeper) releaseClaim(ctx context.Context, c Claim) error {
	unlock, err := k.lockObject(ctx, c.Group)
	if err != nil {
		return err
	}
	defer unlock()
	object, stored, err := k.readClaim(ctx, c.Group)
	if err != nil {
		return err
	}
	if !stored.sameTenure(&c) || stored.Released {
		return ErrHeldByOther
	}
	members := k.membersToWrite(c, stored.Members)
	c = k.mergeStored(c, stored.Claim)
	c.Released = true
	if object.Value, err = json.Marshal(claimRecord{Claim: c, Members: members}); err != nil {
		return err
	}
	k.Learn(c)
	_, err = k.opts.Store.PutIf(ctx, object)
	return err
}
