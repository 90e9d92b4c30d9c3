package floor

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// keptSlot is one slot's table and the checks of the right to answer from it.
type keptSlot struct {
	keeper *Keeper
	key    slotKey
	checks *coalescer[struct{}] // its key is the target's group

	mu    sync.Mutex // guards the fields below
	group topology.GroupID
	table *Table
}

func newKeptSlot(k *Keeper, key slotKey) *keptSlot {
	s := &keptSlot{keeper: k, key: key, table: NewTable(k.max)}
	s.checks = newCoalescer(s.check)
	return s
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

// check establishes that this host may answer now.
func (s *keptSlot) check(groups []string) (struct{}, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	group := topology.GroupID(groups[0]) // a target belongs to one group
	r, err := s.ask(ctx, group)
	if err != nil {
		return struct{}{}, err
	}
	lock := s.keeper.lock(s.key)
	if !s.inTenure(group, Identity{Lock: lock, Term: r.Term}) {
		return struct{}{}, s.begin(ctx, group, lock)
	}
	s.prune(group, r)
	return struct{}{}, nil
}

// ask verifies the lock and asks a majority, both at once.
func (s *keptSlot) ask(ctx context.Context, group topology.GroupID) (Round, error) {
	var r Round
	both, ctx := errgroup.WithContext(ctx)
	both.Go(func() error {
		_, err := s.keeper.slots.VerifySlot(ctx, s.key.target, s.key.slot)
		return err
	})
	both.Go(func() (err error) {
		r, err = s.keeper.rounds.Round(ctx, group)
		return err
	})
	if err := both.Wait(); err != nil {
		return Round{}, err
	}
	if r.Primary != s.key.target {
		return Round{}, result.New(result.NotPrimary, "%s isn't primary at term %d", s.key.target, r.Term)
	}
	return r, nil
}

func (s *keptSlot) inTenure(group topology.GroupID, id Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group == group && s.table.InTenure(id)
}

// begin begins a tenure. It asks the targets once more: the table's base must
// be a position that the primary had after the lock was taken.
func (s *keptSlot) begin(ctx context.Context, group topology.GroupID, lock uint64) error {
	r, err := s.keeper.rounds.Round(ctx, group)
	if err != nil {
		return err
	}
	status, ok := r.status(s.key.target)
	if !ok || r.Primary != s.key.target || status.Role != target.Primary {
		return result.New(result.NotPrimary, "%s doesn't answer as primary at term %d", s.key.target, r.Term)
	}
	s.mu.Lock()
	s.group = group
	s.table.Begin(Identity{Lock: lock, Term: r.Term}, status.Received)
	s.mu.Unlock()
	s.prune(group, r)
	return nil
}

func (s *keptSlot) prune(group topology.GroupID, r Round) {
	g, ok := s.keeper.groups.Group(group)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Prune(g.Targets, r.Statuses)
}
