package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	announceTimeout  = 1 * time.Second
	announceParallel = 32  // announcements under way at once
	announceToAll    = 256 // a larger fleet is announced to within the own domain only
)

// ServiceName is the name under which Service is registered at peers.
const ServiceName = "Fleet"

// Empty is an answer without content.
type Empty struct{ Done bool }

// Accusation says that a host doesn't answer the accuser.
type Accusation struct{ Host topology.HostID }

// Service takes the announcements of other hosts over net/rpc.
type Service struct{ tracker *Tracker }

// Service returns what is to be registered under ServiceName.
func (t *Tracker) Service() *Service { return &Service{tracker: t} }

// Hello takes the announcement of a new process.
func (s *Service) Hello(h topology.Host, reply *Empty) error {
	reply.Done = true
	s.tracker.update(func(m *Members) bool {
		m.Hello(h, time.Now())
		return true
	})
	return nil
}

// Leaving takes the announcement of a host that leaves.
func (s *Service) Leaving(id topology.HostID, reply *Empty) error {
	reply.Done = true
	s.tracker.NoteLeaving(id)
	return nil
}

// Ping answers a heartbeat with this host's state.
func (s *Service) Ping(_ topology.HostID, reply *topology.Host) error {
	*reply = s.tracker.Self()
	return nil
}

// Accuse takes another host's suspicion. The tracker calls the host itself
// before it counts.
func (s *Service) Accuse(a Accusation, reply *Empty) error {
	reply.Done = true
	s.tracker.update(func(m *Members) bool {
		m.Accuse(a.Host, time.Now())
		return false
	})
	return nil
}

// AnnounceHello tells the other hosts that this one is live. It returns when
// each has answered or can't be reached.
func (t *Tracker) AnnounceHello(ctx context.Context, caller peer.Caller) {
	t.announce(ctx, caller, ServiceName+".Hello", t.Self())
}

// AnnounceLeaving marks this host leaving and tells the others, so that its
// slots move at once.
func (t *Tracker) AnnounceLeaving(ctx context.Context, caller peer.Caller) {
	t.Leave()
	t.announce(ctx, caller, ServiceName+".Leaving", t.Self().ID)
}

func (t *Tracker) announce(ctx context.Context, caller peer.Caller, method string, args any) {
	var calls errgroup.Group
	calls.SetLimit(announceParallel)
	for _, h := range t.audience() {
		calls.Go(func() error {
			t.call(ctx, caller, h, method, args, &Empty{}, announceTimeout)
			return nil
		})
	}
	_ = calls.Wait()
}

// audience returns the hosts that announcements go to.
func (t *Tracker) audience() []topology.HostID {
	self := t.Self()
	hosts := t.Hosts()
	var ids []topology.HostID
	for _, h := range hosts {
		near := len(hosts) <= announceToAll || h.Domain == self.Domain
		if near && h.ID != self.ID && h.State != topology.HostGone {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// call makes one call and reports whether the host was reached.
func (t *Tracker) call(ctx context.Context, caller peer.Caller, h topology.HostID, method string, args, reply any, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := caller.Call(ctx, h, method, args, reply)
	reached := err == nil || answered(err)
	t.Report(h, reached)
	return reached
}

// answered tells whether an error of a call came from the host itself.
func answered(err error) bool {
	switch result.As(err, result.HostUnreachable).Code {
	case result.HostUnreachable, result.HolderLost, result.Canceled, result.DeadlinePassed:
		return false
	}
	return true
}
