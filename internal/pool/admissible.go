package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// admissible tells whether the target may run the first batch of a stream.
func (m *Manager) admissible(ctx context.Context, s *slot, req *Request) error {
	if s.refusesLeaving(req.Class, time.Now()) {
		return result.New(result.TargetDown, "%s is leaving", s.id)
	}
	if req.Class == Read {
		return m.checkReadAt(ctx, s, req)
	}
	if err := m.canConfirm(req.Group); err != nil {
		return err
	}
	if err := m.checkPrimary(ctx, s); err != nil {
		return err
	}
	return m.checkFloor(ctx, s, req.Floor)
}

// admissibleOn checks a batch again once it has its connection. A target that
// falls back, because its log was cut back or its data restored, closes its
// connections: only a status from after a connection was opened tells what is
// read there, and it may have come since the first check.
func (m *Manager) admissibleOn(ctx context.Context, c *conn, s *slot, req *Request) error {
	if req.Class == Read && req.Floor.IsZero() && req.MaxStaleness == 0 {
		return nil
	}
	if !s.observed().sentAt.After(c.openedAt) {
		if _, err := s.control.Status(ctx); err != nil {
			return asResult(err, s.id)
		}
	}
	return m.admissible(ctx, s, req)
}

// checkCommit refuses a batch that may commit while no commit can be confirmed.
func (m *Manager) checkCommit(req *Request) error {
	if req.Class != Write || !req.MayCommit {
		return nil
	}
	return m.canConfirm(req.Group)
}

func (m *Manager) canConfirm(group topology.GroupID) error {
	if m.opts.Confirm == nil {
		return nil
	}
	return m.opts.Confirm.CanConfirm(group)
}

// checkPrimary refuses a write at a target that says it isn't the primary,
// before a statement of it could read there.
func (m *Manager) checkPrimary(ctx context.Context, s *slot) error {
	seen := s.observed()
	if seen.sentAt.IsZero() || seen.status.Role == target.Primary {
		return nil
	}
	st, err := s.control.Status(ctx)
	if err != nil {
		return asResult(err, s.id)
	}
	if st.Role == target.Primary {
		return nil
	}
	return result.New(result.NotPrimary, "%s is a %s of term %d", s.id, st.Role, st.Term)
}

// checkFloor lets a batch at the primary see its session's writes.
func (m *Manager) checkFloor(ctx context.Context, s *slot, floor topology.Position) error {
	if checkRead(m.readState(s), floor, 0, true) == nil {
		return nil
	}
	if _, err := s.control.Status(ctx); err != nil {
		return asResult(err, s.id)
	}
	return asError(checkRead(m.readState(s), floor, 0, true))
}

// checkReadAt checks a read against what is known, then once more against a
// fresh answer of the target.
func (m *Manager) checkReadAt(ctx context.Context, s *slot, req *Request) error {
	if m.checkReadNow(s, req) == nil {
		return nil
	}
	if _, err := s.control.Status(ctx); err != nil {
		return asResult(err, s.id)
	}
	return asError(m.checkReadNow(s, req))
}

func (m *Manager) checkReadNow(s *slot, req *Request) *result.Error {
	return checkRead(m.readState(s), req.Floor, req.MaxStaleness, req.ServeStale)
}

func (m *Manager) readState(s *slot) readState {
	seen := s.observed()
	state := readState{known: !seen.sentAt.IsZero(), status: seen.status}
	if state.known && m.opts.Freshness != nil {
		state.age, state.ageKnown = m.opts.Freshness.Age(s.group, seen.status.Applied)
	}
	state.primaryFresh = m.opts.Confirm != nil && m.canConfirm(s.group) == nil
	return state
}

// asError turns a nil *result.Error into a nil error.
func asError(e *result.Error) error {
	if e == nil {
		return nil
	}
	return e
}
