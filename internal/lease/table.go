package lease

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Table contains the leases of this host. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	groups map[topology.GroupID]*Held
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{groups: map[topology.GroupID]*Held{}} }

// Holds reports whether this host has a valid lease on the target's leadership. Only
// then may it start something at the target that needs the leader.
func (t *Table) Holds(id topology.GroupID, target topology.TargetID) bool {
	return t.check(id, target, (*Held).ValidAt)
}

// Covers reports whether an answer of the target that has just arrived may be passed
// on as that of the leader.
func (t *Table) Covers(id topology.GroupID, target topology.TargetID) bool {
	return t.check(id, target, (*Held).CoversAt)
}

func (t *Table) check(id topology.GroupID, target topology.TargetID, allows func(*Held, time.Time) bool) bool {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.groups[id]
	return h != nil && h.lease.Target == target && allows(h, now)
}

// Target returns the target on whose leadership this host has a valid lease.
func (t *Table) Target(id topology.GroupID) (topology.TargetID, bool) {
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.groups[id]
	if h == nil || !h.ValidAt(now) {
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
	if h == nil || !h.ValidAt(now) {
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
			h = &Held{}
			t.groups[l.Group] = h
		}
		before := h.lease.Target
		wasValid := h.ValidAt(now)
		h.Note(l, sentAt)
		if h.ValidAt(now) && (!wasValid || before != h.lease.Target) {
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
		h = &Held{}
		t.groups[id] = h
	}
	h.Revoke(token, now)
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
		dumps = append(dumps, Dump{Group: id, Target: h.lease.Target, Token: h.lease.Token, Valid: h.ValidAt(now), AgeMS: now.Sub(h.sentAt).Milliseconds()})
	}
	return dumps
}
