package floor

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// MaxEntries bounds the number of sessions in one table. When it is exceeded, the
// lower half of the floors is folded into the base. That makes fewer replicas
// eligible for reads but keeps every consistency guarantee.
const MaxEntries = 100_000

// Epoch identifies a period during which one keeper holds the slot's lock and the
// group's term does not change.
type Epoch struct {
	Lock uint64 // how often this host has taken the slot's lock
	Term uint64 // the group's term
}

// Table holds the session floors of one slot. Not safe for concurrent use.
//
// A table has no base until its first epoch begins. Each epoch begins with a base
// at or past every write that was acknowledged by another keeper or by a primary
// of an earlier term. Entries are kept across epochs, so a floor is never lowered.
type Table struct {
	started    bool
	epoch      Epoch
	base       topology.Position
	entries    map[string]topology.Position
	applied    map[topology.TargetID]topology.Position // latest known applied position of each target
	maxEntries int
}

// NewTable returns an empty table that is in no epoch.
func NewTable(maxEntries int) *Table {
	return &Table{
		entries:    make(map[string]topology.Position),
		applied:    make(map[topology.TargetID]topology.Position),
		maxEntries: maxEntries,
	}
}

// Record raises the session's floor to pos, the position of a write that has not
// been acknowledged yet.
func (t *Table) Record(session string, pos topology.Position) {
	t.entries[session] = topology.Later(t.entries[session], pos)
	if len(t.entries) > t.maxEntries {
		t.compact()
	}
}

// compact folds the lower half of the floors into the base.
func (t *Table) compact() {
	floors := make([]topology.Position, 0, len(t.entries))
	for _, pos := range t.entries {
		floors = append(floors, pos)
	}
	slices.SortFunc(floors, topology.Position.Compare)
	t.dropUpTo(floors[len(floors)/2])
}

// dropUpTo removes the floors at or below pos. The base becomes at least the
// highest of them.
func (t *Table) dropUpTo(pos topology.Position) {
	for session, floor := range t.entries {
		if pos.AtLeast(floor) {
			t.base = topology.Later(t.base, floor)
			delete(t.entries, session)
		}
	}
}

// InEpoch reports whether the table is in the given epoch.
func (t *Table) InEpoch(want Epoch) bool { return t.started && t.epoch == want }

// BeginEpoch starts an epoch. primaryPos is a position that the group's primary
// had after the slot's lock was taken and at the term of next.
func (t *Table) BeginEpoch(next Epoch, primaryPos topology.Position) {
	t.started = true
	t.epoch = next
	t.base = topology.Later(t.base, primaryPos)
}

// Floor returns the session's floor.
func (t *Table) Floor(session string) topology.Position {
	return topology.Later(t.entries[session], t.base)
}

// Prune updates the applied positions of the targets and folds the floors that all
// targets of the group have applied into the base. Folding such a floor excludes
// no replica from reads.
func (t *Table) Prune(targets []topology.Target, statuses []target.Status) {
	for _, s := range statuses {
		t.applied[s.Target] = s.Applied
	}
	if len(targets) == 0 {
		return
	}
	minApplied := t.applied[targets[0].ID]
	for _, member := range targets {
		if pos := t.applied[member.ID]; minApplied.AtLeast(pos) {
			minApplied = pos
		}
	}
	t.dropUpTo(minApplied)
}

// Len returns the number of sessions with an entry.
func (t *Table) Len() int { return len(t.entries) }
