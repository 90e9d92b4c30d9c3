package floor

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// slotState holds the table of one slot and verifies that this host may answer
// from it.
type slotState struct {
	keeper       *Keeper
	key          slotKey
	verification *coalescer[struct{}] // coalesces verifyAuthority; the key is the target's group

	mu    sync.Mutex // guards the fields below
	group topology.GroupID
	table *Table
}

// newSlotState returns the state of a slot with an empty table.
func newSlotState(k *Keeper, key slotKey) *slotState {
	s := &slotState{keeper: k, key: key, table: NewTable(k.maxEntries)}
	s.verification = newCoalescer(s.verifyAuthority)
	return s
}

func (s *slotState) record(session string, pos topology.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Record(session, pos)
}

func (s *slotState) floors(sessions []string) []topology.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	floors := make([]topology.Position, len(sessions))
	for i, session := range sessions {
		floors[i] = s.table.Floor(session)
	}
	return floors
}

// verifyAuthority verifies that this host is the slot's keeper at present. It
// starts a new epoch if the lock was taken again or the term has changed.
func (s *slotState) verifyAuthority(groups []string) (struct{}, error) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	group := topology.GroupID(groups[0]) // a target belongs to one group
	r, err := s.verifyLockAndTerm(ctx, group)
	if err != nil {
		return struct{}{}, err
	}
	lockCount := s.keeper.lockCount(s.key)
	if !s.inEpoch(group, Epoch{Lock: lockCount, Term: r.Term}) {
		return struct{}{}, s.beginEpoch(ctx, group, lockCount)
	}
	s.prune(group, r)
	return struct{}{}, nil
}

// verifyLockAndTerm verifies the lock and queries a majority of the targets in
// parallel.
func (s *slotState) verifyLockAndTerm(ctx context.Context, group topology.GroupID) (QuorumRead, error) {
	var r QuorumRead
	checks, ctx := errgroup.WithContext(ctx)
	checks.Go(func() error {
		_, err := s.keeper.slots.VerifySlot(ctx, s.key.target, s.key.slot)
		return err
	})
	checks.Go(func() (err error) {
		r, err = s.keeper.quorum.ReadQuorum(ctx, group)
		return err
	})
	if err := checks.Wait(); err != nil {
		return QuorumRead{}, err
	}
	if r.Primary != s.key.target {
		return QuorumRead{}, result.New(result.NotPrimary, "target %s is not the primary at term %d", s.key.target, r.Term)
	}
	return r, nil
}

// inEpoch reports whether the table is in the given epoch of the group.
func (s *slotState) inEpoch(group topology.GroupID, epoch Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group == group && s.table.InEpoch(epoch)
}

// beginEpoch starts an epoch. It queries the targets again, because the table's
// base must be a position that the primary had after the lock was taken.
func (s *slotState) beginEpoch(ctx context.Context, group topology.GroupID, lockCount uint64) error {
	r, err := s.keeper.quorum.ReadQuorum(ctx, group)
	if err != nil {
		return err
	}
	status, ok := r.status(s.key.target)
	if !ok || r.Primary != s.key.target || status.Role != target.Primary {
		return result.New(result.NotPrimary, "target %s did not answer as the primary at term %d", s.key.target, r.Term)
	}
	s.mu.Lock()
	s.group = group
	s.table.BeginEpoch(Epoch{Lock: lockCount, Term: r.Term}, status.Received)
	s.mu.Unlock()
	s.prune(group, r)
	return nil
}

// prune removes the floors that all targets of the group have applied.
func (s *slotState) prune(group topology.GroupID, r QuorumRead) {
	g, ok := s.keeper.groups.Group(group)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Prune(g.Targets, r.Statuses)
}
