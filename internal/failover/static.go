package failover

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const ServiceName = "Failover"

type Svc struct{}

func (s *Svc) Nop(a *int, b *int) error { return nil }

type Round struct {
	Term     uint64
	Primary  topology.TargetID
	Statuses []target.Status
}
type Monitor struct {
	Store customer.View
	Dir   target.Directory
}

func (m *Monitor) Service() *Svc                                    { return &Svc{} }
func (m *Monitor) Observe(st target.Status, err error, t time.Time) {}
func (m *Monitor) Run(ctx context.Context)                          { <-ctx.Done() }
func (m *Monitor) Watch([]topology.GroupID)                         {}
func (m *Monitor) Dump() any                                        { return nil }
func (m *Monitor) Learn(topology.GroupID, uint64, topology.TargetID) {}
func (m *Monitor) State(id topology.GroupID) (uint64, topology.TargetID, bool) {
	g, ok := m.Store.Group(id)
	if !ok {
		return 0, "", false
	}
	return g.Term, g.Primary, true
}
func (m *Monitor) CanConfirm(topology.GroupID) error { return nil }
func (m *Monitor) Round(ctx context.Context, id topology.GroupID) (Round, error) {
	g, ok := m.Store.Group(id)
	if !ok {
		return Round{}, result.New(result.NoMajority, "no group")
	}
	ch := make(chan target.Status, len(g.Targets))
	for _, t := range g.Targets {
		go func() {
			s, err := m.Dir.Status(ctx, t.ID)
			if err == nil {
				ch <- s
			}
		}()
	}
	r := Round{Primary: g.Primary, Term: g.Term}
	have := false
	for {
		select {
		case <-ctx.Done():
			return r, result.New(result.NoMajority, "x")
		case s := <-ch:
			if s.Term == g.Term {
				r.Statuses = append(r.Statuses, s)
				have = have || s.Target == g.Primary
			}
			if len(r.Statuses) >= g.Majority() && have {
				return r, nil
			}
		}
	}
}
func (m *Monitor) Confirm(ctx context.Context, id topology.GroupID, pos topology.Position) error {
	for ctx.Err() == nil {
		r, err := m.Round(ctx, id)
		if err != nil {
			return err
		}
		n := 0
		for _, s := range r.Statuses {
			if s.Received.AtLeast(pos) {
				n++
			}
		}
		if n >= 2 {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return result.New(result.UnconfirmedCommit, "x")
}
