package floor

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// MaxEntries bounds the sessions of one table. Beyond it the oldest floors
// become the table's base, which costs replica reads but no promise.
const MaxEntries = 100_000

// Identity tells one tenure of a keeper from the next.
type Identity struct {
	Lock uint64 // numbers the times that the slot's lock was taken
	Term uint64 // of the group
}

// Table is what the keeper of one slot knows. Not safe for concurrent use.
//
// It has no base until its first tenure begins. A tenure begins with a base at
// or past every write that another keeper, or a primary of an earlier term,
// acknowledged. Entries outlive a tenure: a floor is never lowered.
type Table struct {
	begun    bool
	identity Identity
	base     topology.Position
	entries  map[string]topology.Position
	applied  map[topology.TargetID]topology.Position // by each target of the group, latest known
	max      int
}

// NewTable returns a table without a tenure.
func NewTable(maxEntries int) *Table {
	return &Table{
		entries: make(map[string]topology.Position),
		applied: make(map[topology.TargetID]topology.Position),
		max:     maxEntries,
	}
}

// Record notes a write of the session, before it is acknowledged.
func (t *Table) Record(session string, pos topology.Position) {
	t.entries[session] = topology.Later(t.entries[session], pos)
	if len(t.entries) > t.max {
		t.shrink()
	}
}

// shrink turns the older half of the floors into the base.
func (t *Table) shrink() {
	floors := make([]topology.Position, 0, len(t.entries))
	for _, pos := range t.entries {
		floors = append(floors, pos)
	}
	slices.SortFunc(floors, topology.Position.Compare)
	t.drop(floors[len(floors)/2])
}

// drop removes the floors up to pos; the highest of them becomes the base.
func (t *Table) drop(pos topology.Position) {
	for session, floor := range t.entries {
		if pos.AtLeast(floor) {
			t.base = topology.Later(t.base, floor)
			delete(t.entries, session)
		}
	}
}

// InTenure tells whether the tenure of that identity has begun.
func (t *Table) InTenure(id Identity) bool { return t.begun && t.identity == id }

// Begin begins a tenure. primary is a position that the group's primary had
// after the slot's lock was taken and at the identity's term.
func (t *Table) Begin(id Identity, primary topology.Position) {
	t.begun = true
	t.identity = id
	t.base = topology.Later(t.base, primary)
}

// Floor returns the session's floor.
func (t *Table) Floor(session string) topology.Position {
	return topology.Later(t.entries[session], t.base)
}

// Prune learns what targets have applied and drops the floors that all targets
// of the group have applied. They cost no replica read as part of the base.
func (t *Table) Prune(targets []topology.Target, statuses []target.Status) {
	for _, s := range statuses {
		t.applied[s.Target] = s.Applied
	}
	if len(targets) == 0 {
		return
	}
	least := t.applied[targets[0].ID]
	for _, member := range targets {
		if pos := t.applied[member.ID]; least.AtLeast(pos) {
			least = pos
		}
	}
	t.drop(least)
}

// Len returns the number of sessions in the table.
func (t *Table) Len() int { return len(t.entries) }
