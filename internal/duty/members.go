package duty

import (
	"context"
	"encoding/json"
	"slices"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Member is a target that may hold acknowledged commits of its group.
type Member struct {
	ID     topology.TargetID `json:"id"`
	Addr   string            `json:"addr"`
	Domain topology.Domain   `json:"domain,omitempty"`
	// Leads is set for the target that led last.
	Leads bool `json:"leads,omitempty"`
	// Leaving is set if the target announced that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation is the start of the target whose log counts. It differs from the registered
	// one while the log that a restart lost may have held a commit that no other log has.
	// 0: not stated.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Covered is set for a target that has ended and whose commits another target has. Hosts
	// that saw it registered would otherwise count it again.
	Covered bool `json:"covered,omitempty"`
}

// claimRecord is the content of a group's object in the store. The members stand only
// there, not in the claims that hosts tell each other: only a holder needs them, and it
// reads the object when it acquires the duty.
type claimRecord struct {
	Claim
	Members []Member `json:"members,omitempty"`
}

// Members returns the group's possible commit holders as this host, which holds the
// duty, or the holders before it recorded them.
func (k *Keeper) Members(id topology.GroupID) []Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members[id]
}

// StoredMembers returns the possible commit holders that the store lists for a group whose duty this
// host holds.
func (k *Keeper) StoredMembers(id topology.GroupID) []Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writtenMembers[id]
}

// RecordMembers records the group's possible commit holders for the holders that follow.
// It returns when the store has them, or with an error; they are known to this host in
// either case. It does nothing if this host doesn't hold the duty or the store has them.
func (k *Keeper) RecordMembers(ctx context.Context, id topology.GroupID, members []Member) error {
	k.mu.Lock()
	claim := k.claims[id]
	held := k.isHeldHere(claim)
	if held {
		k.members[id] = members
	}
	written := slices.Equal(k.writtenMembers[id], members)
	k.mu.Unlock()
	if !held || written {
		return nil
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
	if !stored.sameTenure(&claim) {
		k.learnRecord(stored)
		return ErrHeldByOther
	}
	stored.Members = members
	stored.Electorate = k.mergeStored(claim, stored.Claim).Electorate
	if object.Value, err = json.Marshal(stored); err != nil {
		return err
	}
	if _, err = k.opts.Store.PutIf(ctx, object); err != nil {
		return err
	}
	k.noteMembersWritten(id, members)
	return nil
}

// MembersStored reports whether the store lists each of the targets as a possible commit holder
// of a group whose duty this host holds, for the holders that follow.
func (k *Keeper) MembersStored(id topology.GroupID, targets []topology.TargetID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range targets {
		if !slices.ContainsFunc(k.writtenMembers[id], func(m Member) bool { return m.ID == t && !m.Covered }) {
			return false
		}
	}
	return true
}

// membersToWrite returns the members that a claim of this host is written with: those
// that this host recorded under the same claim, otherwise those in the store.
func (k *Keeper) membersToWrite(known Claim, stored []Member) []Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	if members, ok := k.members[known.Group]; ok && k.isHeldHere(known) {
		return members
	}
	return stored
}

// learnRecord is like Learn for a claim that was read from the store. The claim may be this
// host's own, if the answer to its write was lost.
func (k *Keeper) learnRecord(r claimRecord) {
	k.mu.Lock()
	known := k.claims[r.Group]
	if k.isHeldHere(r.Claim) && r.supersedes(&known) && !r.sameTenure(&known) {
		k.members[r.Group], k.writtenMembers[r.Group] = r.Members, r.Members
	}
	k.mu.Unlock()
	k.Learn(r.Claim)
}

// noteMembersWritten records the members that the store has for a group whose duty this
// host holds.
func (k *Keeper) noteMembersWritten(id topology.GroupID, members []Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writtenMembers[id] = members
}
