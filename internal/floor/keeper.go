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

// verifyTimeout bounds the verification before an answer, calls to a keeper and
// rounds. A keeper that exceeds it returns an error, and the client uses the
// confirmed position.
const verifyTimeout = 1 * time.Second

// Slots verifies the locks of the slots that this host holds.
type Slots interface {
	// VerifySlot makes a round trip on the connection that holds the slot's
	// lock, started after the call. It fails if this host does not hold the lock.
	VerifySlot(ctx context.Context, target topology.TargetID, slot int) (target.Status, error)
}

// QuorumReader queries the targets of groups.
type QuorumReader interface {
	// ReadQuorum queries the group's targets and returns the answers of a majority,
	// all given after the call began. None of these targets knows a higher term
	// than the returned one.
	ReadQuorum(ctx context.Context, group topology.GroupID) (QuorumRead, error)
}

// Groups returns the configuration of groups.
type Groups interface {
	Group(id topology.GroupID) (*topology.Group, bool)
}

// Keeper tracks the floors of the sessions whose slots this host holds. Safe for
// concurrent use.
type Keeper struct {
	slots      Slots
	quorum     QuorumReader
	groups     Groups
	maxEntries int

	mu         sync.Mutex // guards the fields below
	states     map[slotKey]*slotState
	lockCounts map[slotKey]uint64 // how often this host took each slot's lock; entries are never removed
}

type slotKey struct {
	target topology.TargetID
	slot   int
}

// NewKeeper returns a Keeper without any recorded floors.
func NewKeeper(slots Slots, quorum QuorumReader, groups Groups) *Keeper {
	return &Keeper{
		slots:      slots,
		quorum:     quorum,
		groups:     groups,
		maxEntries: MaxEntries,
		states:     make(map[slotKey]*slotState),
		lockCounts: make(map[slotKey]uint64),
	}
}

// stateOf returns the state of a slot and creates it if there is none.
func (k *Keeper) stateOf(id topology.TargetID, slot int) *slotState {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := slotKey{target: id, slot: slot}
	s, ok := k.states[key]
	if !ok {
		s = newSlotState(k, key)
		k.states[key] = s
	}
	return s
}

// OnLock records that this host took the slot's lock. It must be called before
// VerifySlot can succeed under that lock.
func (k *Keeper) OnLock(id topology.TargetID, slot int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lockCounts[slotKey{target: id, slot: slot}]++
}

// lockCount returns how often this host has taken the slot's lock.
func (k *Keeper) lockCount(key slotKey) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lockCounts[key]
}

// OnCommit records a write of an identified session that committed at the
// target through the slot. It must be called before the write is acknowledged,
// and the slot's lock must have been verified after the commit.
func (k *Keeper) OnCommit(id topology.TargetID, slot int, session string, pos topology.Position) {
	if session != "" {
		k.stateOf(id, slot).record(session, pos)
	}
}

// Floors returns the floors of the sessions, or an error if this host cannot
// verify that it is their keeper.
func (k *Keeper) Floors(ctx context.Context, group topology.GroupID, id topology.TargetID, slot int, sessions []string) ([]topology.Position, error) {
	s := k.stateOf(id, slot)
	if _, err := s.verification.do(ctx, string(group)); err != nil {
		return nil, result.As(err, result.NotHolder)
	}
	return s.floors(sessions), nil
}

// Retain removes the tables of slots that are not in held. No floor is lost: if
// this host takes such a slot again, its new table starts with a later base.
func (k *Keeper) Retain(held []fleet.HeldSlot) {
	keep := make(map[slotKey]bool, len(held))
	for _, h := range held {
		keep[slotKey{target: h.Target.ID, slot: h.Slot}] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.states {
		if !keep[key] {
			delete(k.states, key)
		}
	}
}
