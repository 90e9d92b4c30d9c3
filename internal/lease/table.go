package lease

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// held is this host's latest lease on one group.
type held struct {
	lease     Lease
	sentAt    time.Time // when its request was sent
	endedAt   time.Time // when it was revoked; zero if it wasn't
	revokedAt time.Time // when a lease on the group was last revoked
}

// validAt reports whether the lease is valid.
func (h *held) validAt(now time.Time) bool {
	return h.lease.Target != "" && h.endedAt.IsZero() && now.Sub(h.sentAt) < Lifetime
}

// coversAt reports whether an answer that arrives now may be passed on.
func (h *held) coversAt(now time.Time) bool {
	if h.endedAt.IsZero() {
		return h.validAt(now)
	}
	return now.Sub(h.endedAt) < answerGrace && now.Sub(h.sentAt) < Lifetime
}

// note records a granted lease whose request was sent at sentAt. It ignores a grant
// that may be older than a revocation, and one of an earlier holder.
func (h *held) note(l Lease, sentAt time.Time) {
	if !sentAt.After(h.revokedAt) || l.Token < h.lease.Token {
		return
	}
	if l.Token == h.lease.Token && sentAt.Before(h.sentAt) {
		return // answers came out of order
	}
	h.lease, h.sentAt, h.endedAt = l, sentAt, time.Time{}
}

// revoke ends the lease. A revocation by an earlier holder has no effect.
func (h *held) revoke(token uint64, now time.Time) {
	if token < h.lease.Token {
		return
	}
	if h.validAt(now) {
		h.endedAt = now
	}
	h.revokedAt = now
}

// Table contains the leases of this host. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	groups map[topology.GroupID]*held
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{groups: map[topology.GroupID]*held{}} }

// Holds reports whether this host has a valid lease on the target's leadership. Only
// then may it start something at the target that needs the leader.
func (t *Table) Holds(id topology.GroupID, target topology.TargetID) bool {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.groups[id]
	return h != nil && h.lease.Target == target && h.validAt(now)
}

// Covers reports whether an answer of the target that has just arrived may be passed
// on as that of the leader.
func (t *Table) Covers(id topology.GroupID, target topology.TargetID) bool {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.groups[id]
	return h != nil && h.lease.Target == target && h.coversAt(now)
}

// Target returns the target on whose leadership this host has a valid lease.
func (t *Table) Target(id topology.GroupID) (topology.TargetID, bool) {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.groups[id]
	if h == nil || !h.validAt(now) {
		return "", false
	}
	return h.lease.Target, true
}

// age returns the time since the request of the group's valid lease was sent, or
// false if there is none.
func (t *Table) age(id topology.GroupID, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.groups[id]
	if h == nil || !h.validAt(now) {
		return 0, false
	}
	return now.Sub(h.sentAt), true
}

// note records granted leases and returns the groups on which this host had none
// before, or one on another target.
func (t *Table) note(leases []Lease, sentAt time.Time) (begun []Lease) {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range leases {
		h := t.groups[l.Group]
		if h == nil {
			h = &held{}
			t.groups[l.Group] = h
		}
		before := h.lease.Target
		wasValid := h.validAt(now)
		h.note(l, sentAt)
		if h.validAt(now) && (!wasValid || before != h.lease.Target) {
			begun = append(begun, h.lease)
		}
	}
	return begun
}

// revoke ends the lease on a group.
func (t *Table) revoke(id topology.GroupID, token uint64) {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.groups[id]
	if h == nil {
		h = &held{}
		t.groups[id] = h
	}
	h.revoke(token, now)
}

// Dump is the state of this host's lease on one group.
type Dump struct {
	Group  topology.GroupID  `json:"group"`
	Target topology.TargetID `json:"target"`
	Token  uint64            `json:"token"`
	Valid  bool              `json:"valid"`
	AgeMS  int64             `json:"age_ms"` // since its request was sent
}

// Dump returns the state of all leases for operators.
func (t *Table) Dump() []Dump {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	dumps := []Dump{}
	for id, h := range t.groups {
		dumps = append(dumps, Dump{Group: id, Target: h.lease.Target, Token: h.lease.Token, Valid: h.validAt(now), AgeMS: now.Sub(h.sentAt).Milliseconds()})
	}
	return dumps
}
