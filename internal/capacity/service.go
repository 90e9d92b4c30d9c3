package capacity

import "nettlewalk.example/nettlewalk/internal/topology"

// ServiceName is the RPC service for requests between hosts.
const ServiceName = "Capacity"

const (
	wakeMethod = ServiceName + ".Wake"
	pollMethod = ServiceName + ".Poll"
)

// WakeArgs tells a holder that a request waits at another one, so that it must coordinate.
type WakeArgs struct {
	From     topology.HostID
	Group    topology.GroupID
	StandsIn bool // holders that come before this one didn't answer
}

// WakeReply is the answer.
type WakeReply struct{ Coordinates bool }

// PollArgs has a holder's allocations, none in the first round, and asks for its figures.
type PollArgs struct {
	From        topology.HostID
	Group       topology.GroupID
	Allocations []Allocation
	Ended       bool // nothing waits any more: allocations end
}

// Allocation is how many statements a holder may have in flight at a target.
type Allocation struct {
	Target topology.TargetID
	N      int
}

// PollReply has the figures of the targets at which the holder isn't idle.
type PollReply struct {
	Holds   bool // the holder shares the capacity of the group's targets
	Targets []TargetFigures
}

// TargetFigures are the figures of one target.
type TargetFigures struct {
	Target  topology.TargetID
	Figures Figures
}

// Service is the RPC service.
type Service struct{ coordinator *Coordinator }

// Service returns the service to register under ServiceName.
func (c *Coordinator) Service() *Service { return &Service{coordinator: c} }

// Wake makes this host coordinate a group.
func (s *Service) Wake(args *WakeArgs, reply *WakeReply) error {
	reply.Coordinates = s.coordinator.coordinate(args.Group, args.From, args.StandsIn)
	return nil
}

// Poll applies allocations and returns this host's figures.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	c := s.coordinator
	if !c.opts.Enabled() {
		return nil
	}
	allocated := map[topology.TargetID]int{}
	for _, a := range args.Allocations {
		allocated[a.Target] = max(a.N, 0)
	}
	for _, t := range c.opts.Targets(args.Group) {
		f, ok := t.Pool.Figures()
		if !ok {
			continue
		}
		reply.Holds = true
		apply(t.Pool, min(allocated[t.ID], MaxAllocation(t.Slots, 1)), args.Ended)
		if !f.idle() {
			reply.Targets = append(reply.Targets, TargetFigures{Target: t.ID, Figures: f})
		}
	}
	return nil
}
