package floor

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which Service is registered at peers.
const ServiceName = "Floor"

// Question asks the keeper of a slot for the floors of sessions.
type Question struct {
	Group    topology.GroupID
	Target   topology.TargetID // the group's primary
	Slot     int
	Sessions []string
}

// Answer holds the floors in the order of the question's sessions.
type Answer struct{ Floors []topology.Position }

// Service answers questions of other hosts over net/rpc.
type Service struct{ keeper *Keeper }

// Service returns what is to be registered under ServiceName.
func (k *Keeper) Service() *Service { return &Service{keeper: k} }

// Ask answers a question. Its errors are *result.Error.
func (s *Service) Ask(q Question, a *Answer) error {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	floors, err := s.keeper.Floors(ctx, q.Group, q.Target, q.Slot, q.Sessions)
	if err != nil {
		return err
	}
	a.Floors = floors
	return nil
}
