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
	announceTimeout      = 1 * time.Second
	announceConcurrency  = 32  // concurrent calls of one announcement
	maxFleetWideAnnounce = 256 // hosts; in a larger fleet announcements go only to this host's own domain
)

// ServiceName is the RPC service name of Service.
const ServiceName = "Fleet"

// Empty is an answer without content. Done is true in every answer.
type Empty struct{ Done bool }

// Accusation reports that calls from its sender to Host fail.
type Accusation struct{ Host topology.HostID }

// Service is the RPC service that receives the announcements of other hosts.
type Service struct{ tracker *Tracker }

// Service returns the RPC service to register under ServiceName.
func (t *Tracker) Service() *Service { return &Service{tracker: t} }

// Hello handles the announcement of a newly started process.
func (s *Service) Hello(h topology.Host, reply *Empty) error {
	reply.Done = true
	s.tracker.update(func(m *Members) bool {
		m.Hello(h, time.Now())
		return true
	})
	return nil
}

// Leaving handles the announcement of a host that is leaving.
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

// Accuse handles another host's suspicion. The accused host counts as suspected
// only once a call from this host to it fails too.
func (s *Service) Accuse(a Accusation, reply *Empty) error {
	reply.Done = true
	s.tracker.update(func(m *Members) bool {
		m.Accuse(a.Host, time.Now())
		return false
	})
	return nil
}

// AnnounceHello announces to the other hosts that this one is live. It returns
// once every call has succeeded or failed.
func (t *Tracker) AnnounceHello(ctx context.Context, caller peer.Caller) {
	t.announce(ctx, caller, ServiceName+".Hello", t.Self())
}

// AnnounceLeaving marks this host as leaving and announces that to the others, so
// that they take over its slots at once.
func (t *Tracker) AnnounceLeaving(ctx context.Context, caller peer.Caller) {
	t.Leave()
	t.announce(ctx, caller, ServiceName+".Leaving", t.Self().ID)
}

func (t *Tracker) announce(ctx context.Context, caller peer.Caller, method string, args any) {
	var calls errgroup.Group
	calls.SetLimit(announceConcurrency)
	for _, h := range t.announceRecipients() {
		calls.Go(func() error {
			t.call(ctx, caller, h, method, args, &Empty{}, announceTimeout)
			return nil
		})
	}
	_ = calls.Wait()
}

// announceRecipients returns the hosts that announcements go to.
func (t *Tracker) announceRecipients() []topology.HostID {
	self := t.Self()
	hosts := t.Hosts()
	var ids []topology.HostID
	for _, h := range hosts {
		inScope := len(hosts) <= maxFleetWideAnnounce || h.Domain == self.Domain
		if inScope && h.ID != self.ID && h.State != topology.HostGone {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// call makes one call, records whether it reached the host, and returns that.
func (t *Tracker) call(ctx context.Context, caller peer.Caller, id topology.HostID, method string, args, reply any, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := caller.Call(ctx, id, method, args, reply)
	reached := err == nil || answeredByHost(err)
	t.RecordCall(id, reached)
	return reached
}

// answeredByHost reports whether the error of a call came from the called host.
func answeredByHost(err error) bool {
	switch result.As(err, result.HostUnreachable).Code {
	case result.HostUnreachable, result.HolderLost, result.Canceled, result.DeadlinePassed:
		return false
	}
	return true
}
