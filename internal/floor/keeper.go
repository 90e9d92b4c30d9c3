package floor

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const checkTimeout = 1 * time.Second // a keeper that can't check sooner lets others answer

// Slots checks the locks of the slots that this host holds.
type Slots interface {
	// VerifySlot makes a round trip, begun after the call, on the connection
	// that holds the slot's lock. It fails if this host doesn't hold the lock.
	VerifySlot(ctx context.Context, target topology.TargetID, slot int) (target.Status, error)
}

// Rounds asks groups' targets.
type Rounds interface {
	// Round returns answers that a majority of the group's targets gave after
	// the call began, at a term of which none of them knows a higher one.
	Round(ctx context.Context, group topology.GroupID) (Round, error)
}

// Groups tells the members of groups.
type Groups interface {
	Group(id topology.GroupID) (*topology.Group, bool)
}

// Keeper answers for the slots that this host holds. Safe for concurrent use.
type Keeper struct {
	slots  Slots
	rounds Rounds
	groups Groups
	max    int

	mu     sync.Mutex // guards the fields below
	tables map[slotKey]*keptSlot
	locks  map[slotKey]uint64 // how often each slot's lock was taken; never forgotten
}

type slotKey struct {
	target topology.TargetID
	slot   int
}

// NewKeeper returns a keeper without tables.
func NewKeeper(slots Slots, rounds Rounds, groups Groups) *Keeper {
	return &Keeper{
		slots:  slots,
		rounds: rounds,
		groups: groups,
		max:    MaxEntries,
		tables: make(map[slotKey]*keptSlot),
		locks:  make(map[slotKey]uint64),
	}
}

func (k *Keeper) slot(id topology.TargetID, slot int) *keptSlot {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := slotKey{target: id, slot: slot}
	s, ok := k.tables[key]
	if !ok {
		s = newKeptSlot(k, key)
		k.tables[key] = s
	}
	return s
}

// OnLock notes that the slot's lock was taken. It must be called before
// VerifySlot can succeed under that lock.
func (k *Keeper) OnLock(id topology.TargetID, slot int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.locks[slotKey{target: id, slot: slot}]++
}

func (k *Keeper) lock(key slotKey) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.locks[key]
}

// OnCommit records a write of an identified session that committed at the
// target through the slot. It must be called before the write is acknowledged,
// and the slot's lock must have been verified after the commit.
func (k *Keeper) OnCommit(id topology.TargetID, slot int, session string, pos topology.Position) {
	if session != "" {
		k.slot(id, slot).record(session, pos)
	}
}

// Floors returns the floors of the sessions, or an error if this host isn't
// surely their keeper.
func (k *Keeper) Floors(ctx context.Context, group topology.GroupID, id topology.TargetID, slot int, sessions []string) ([]topology.Position, error) {
	s := k.slot(id, slot)
	if _, err := s.checks.do(ctx, string(group)); err != nil {
		return nil, result.As(err, result.NotHolder)
	}
	return s.floors(sessions), nil
}

// Retain forgets the tables of slots that this host doesn't hold any more. A
// table that is begun anew takes a later base, so this loses no floor.
func (k *Keeper) Retain(held []fleet.Held) {
	keep := make(map[slotKey]bool, len(held))
	for _, h := range held {
		keep[slotKey{target: h.Target.ID, slot: h.Slot}] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.tables {
		if !keep[key] {
			delete(k.tables, key)
		}
	}
}
