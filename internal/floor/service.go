package floor

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which Service is registered for RPC between
// hosts.
const ServiceName = "Floor"

// AskArgs is the request of Service.Ask: it queries the keeper of a slot for the
// floors of sessions.
type AskArgs struct {
	Group    topology.GroupID
	Target   topology.TargetID // the group's primary
	Slot     int
	Sessions []string
}

// AskReply is the reply of Service.Ask. Floors has the order of AskArgs.Sessions.
type AskReply struct{ Floors []topology.Position }

// Service answers floor queries of other hosts over net/rpc.
type Service struct{ keeper *Keeper }

// Service returns the RPC service to register under ServiceName.
func (k *Keeper) Service() *Service { return &Service{keeper: k} }

// Ask returns the floors of the sessions in q. Its errors are of type
// *result.Error.
func (s *Service) Ask(q AskArgs, a *AskReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	floors, err := s.keeper.Floors(ctx, q.Group, q.Target, q.Slot, q.Sessions)
	if err != nil {
		return err
	}
	a.Floors = floors
	return nil
}
