package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// checkAdmissible returns an error if the target must not run the first batch
// of a stream.
func (m *Manager) checkAdmissible(ctx context.Context, s *slot, req *Request) error {
	if s.refusesAsLeaving(req.Class, time.Now()) {
		return result.New(result.TargetDown, "%s is leaving", s.id)
	}
	if req.Class == Read {
		return m.checkReadOrRefresh(ctx, s, req)
	}
	if err := m.canConfirm(req.Group); err != nil {
		return err
	}
	if err := m.checkPrimary(ctx, s); err != nil {
		return err
	}
	return m.checkFloor(ctx, s, req.Floor)
}

// checkAdmissibleOn repeats the check once the batch has its connection. A
// target that loses data, because its log was truncated or its data restored
// from a backup, closes its connections. Only a status requested after the
// connection was opened therefore describes the data read on it, and such a
// status may have arrived since the first check.
func (m *Manager) checkAdmissibleOn(ctx context.Context, c *conn, s *slot, req *Request) error {
	if req.Class == Read && req.Floor.IsZero() && req.MaxStaleness == 0 {
		return nil
	}
	if !s.latestStatus().sentAt.After(c.openedAt) {
		if _, err := s.control.Status(ctx); err != nil {
			return asResult(err, s.id)
		}
	}
	return m.checkAdmissible(ctx, s, req)
}

// checkCommit refuses a batch that may commit while commits can't be confirmed.
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

// checkPrimary refuses a write at a target that reports that it is not the
// primary, before any statement of the write can read there.
func (m *Manager) checkPrimary(ctx context.Context, s *slot) error {
	seen := s.latestStatus()
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
	return result.New(result.NotPrimary, "%s reports role %s at term %d", s.id, st.Role, st.Term)
}

// checkFloor checks that the target has applied the session's writes, so that a
// batch at the primary sees them.
func (m *Manager) checkFloor(ctx context.Context, s *slot, floor topology.Position) error {
	if checkRead(m.readState(s), floor, 0, true) == nil {
		return nil
	}
	if _, err := s.control.Status(ctx); err != nil {
		return asResult(err, s.id)
	}
	return asError(checkRead(m.readState(s), floor, 0, true))
}

// checkReadOrRefresh checks a read against the latest known status and, if that
// fails, once more against a fresh status.
func (m *Manager) checkReadOrRefresh(ctx context.Context, s *slot, req *Request) error {
	if m.checkReadLatest(s, req) == nil {
		return nil
	}
	if _, err := s.control.Status(ctx); err != nil {
		return asResult(err, s.id)
	}
	return asError(m.checkReadLatest(s, req))
}

// checkReadLatest checks a read against the latest known status.
func (m *Manager) checkReadLatest(s *slot, req *Request) *result.Error {
	return checkRead(m.readState(s), req.Floor, req.MaxStaleness, req.ServeStale)
}

func (m *Manager) readState(s *slot) readState {
	seen := s.latestStatus()
	state := readState{statusKnown: !seen.sentAt.IsZero(), status: seen.status}
	if state.statusKnown && m.opts.Freshness != nil {
		state.age, state.ageKnown = m.opts.Freshness.Age(s.group, seen.status.Applied)
	}
	state.canConfirmCommits = m.opts.Confirm != nil && m.canConfirm(s.group) == nil
	return state
}

// asError converts a nil *result.Error to a nil error interface.
func asError(e *result.Error) error {
	if e == nil {
		return nil
	}
	return e
}
