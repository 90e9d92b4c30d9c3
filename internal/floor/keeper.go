package floor

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const checkTimeout = 1 * time.Second // a keeper that can't check sooner lets others answer

// Slots checks the locks of the slots that this host holds.
type Slots interface {
	// VerifySlot makes a round trip, begun after the call, on the connection
	// that holds the slot's lock. It returns a number that differs each time
	// the lock was taken, or an error if this host doesn't hold the lock.
	VerifySlot(ctx context.Context, target topology.TargetID, slot int) (lock uint64, err error)
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

	mu     sync.Mutex // guards tables
	tables map[slotKey]*keptSlot
}

type slotKey struct {
	target topology.TargetID
	slot   int
}

// keptSlot is one slot's table and its checks.
type keptSlot struct {
	keeper *Keeper
	group  topology.GroupID
	key    slotKey
	checks *coalescer[struct{}] // of the right to answer
	locks  *coalescer[uint64]   // of the lock alone

	mu    sync.Mutex // guards table
	table *Table
}

// NewKeeper returns a keeper without tables.
func NewKeeper(slots Slots, rounds Rounds, groups Groups) *Keeper {
	return &Keeper{
		slots:  slots,
		rounds: rounds,
		groups: groups,
		max:    MaxEntries,
		tables: make(map[slotKey]*keptSlot),
	}
}

func (k *Keeper) slot(group topology.GroupID, id topology.TargetID, slot int) *keptSlot {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := slotKey{target: id, slot: slot}
	s, ok := k.tables[key]
	if !ok {
		s = &keptSlot{keeper: k, group: group, key: key, table: NewTable(k.max)}
		s.checks = newCoalescer(s.check)
		s.locks = newCoalescer(s.verify)
		k.tables[key] = s
	}
	return s
}

// OnCommit records a write of an identified session that committed at the
// target through the slot. The write may be acknowledged only if it returns
// nil: the slot's lock was still this host's after the commit.
func (k *Keeper) OnCommit(ctx context.Context, group topology.GroupID, id topology.TargetID, slot int, session string, pos topology.Position) error {
	if session == "" {
		return nil
	}
	s := k.slot(group, id, slot)
	s.record(session, pos)
	if _, err := s.locks.do(ctx, ""); err != nil {
		return result.New(result.UnconfirmedCommit, "the slot's lock was lost during the commit: %v", err)
	}
	return nil
}

// Record notes a write of an identified session that committed at the target
// through the slot. The caller acknowledges the write only after Record, and
// only if the slot's lock was this host's after the commit.
func (k *Keeper) Record(group topology.GroupID, id topology.TargetID, slot int, session string, pos topology.Position) {
	k.slot(group, id, slot).record(session, pos)
}

// Floors returns the floors of the sessions, or an error if this host isn't
// surely their keeper.
func (k *Keeper) Floors(ctx context.Context, group topology.GroupID, id topology.TargetID, slot int, sessions []string) ([]topology.Position, error) {
	s := k.slot(group, id, slot)
	if _, err := s.checks.do(ctx, ""); err != nil {
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

func (s *keptSlot) record(session string, pos topology.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Record(session, pos)
}

func (s *keptSlot) floors(sessions []string) []topology.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	floors := make([]topology.Position, len(sessions))
	for i, session := range sessions {
		floors[i] = s.table.Floor(session)
	}
	return floors
}

func (s *keptSlot) verify([]string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return s.keeper.slots.VerifySlot(ctx, s.key.target, s.key.slot)
}

// check establishes that this host may answer now.
func (s *keptSlot) check([]string) (struct{}, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	lock, r, err := s.ask(ctx)
	if err != nil {
		return struct{}{}, err
	}
	if s.inTenure(Identity{Lock: lock, Term: r.Term}) {
		s.prune(r)
		return struct{}{}, nil
	}
	// A new tenure needs a position that is later than the lock.
	r, err = s.keeper.rounds.Round(ctx, s.group)
	if err != nil {
		return struct{}{}, err
	}
	return struct{}{}, s.begin(lock, r)
}

// ask makes both checks at once.
func (s *keptSlot) ask(ctx context.Context) (lock uint64, r Round, err error) {
	both, ctx := errgroup.WithContext(ctx)
	both.Go(func() (err error) {
		lock, err = s.keeper.slots.VerifySlot(ctx, s.key.target, s.key.slot)
		return err
	})
	both.Go(func() (err error) {
		r, err = s.keeper.rounds.Round(ctx, s.group)
		return err
	})
	if err := both.Wait(); err != nil {
		return 0, Round{}, err
	}
	if r.Primary != s.key.target {
		return 0, Round{}, result.New(result.NotPrimary, "%s isn't primary at term %d", s.key.target, r.Term)
	}
	return lock, r, nil
}

func (s *keptSlot) inTenure(id Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.InTenure(id)
}

// begin begins a tenure with the primary's answer in r.
func (s *keptSlot) begin(lock uint64, r Round) error {
	status, ok := r.status(s.key.target)
	if !ok || r.Primary != s.key.target || status.Role != target.Primary {
		return result.New(result.NotPrimary, "%s doesn't answer as primary at term %d", s.key.target, r.Term)
	}
	s.mu.Lock()
	s.table.Begin(Identity{Lock: lock, Term: r.Term}, status.Received)
	s.mu.Unlock()
	s.prune(r)
	return nil
}

func (s *keptSlot) prune(r Round) {
	g, ok := s.keeper.groups.Group(s.group)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Prune(g.Targets, r.Statuses)
}
