package session

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is under what name CancelService is registered.
const ServiceName = "Session"

// CancelArgs names the session to cancel.
type CancelArgs struct{ Secret uint32 }

// CancelReply is empty.
type CancelReply struct{}

// CancelService takes cancel requests that arrived at another host.
type CancelService struct{ srv *Server }

// Cancel cancels what the session of that secret runs.
func (s *CancelService) Cancel(args *CancelArgs, _ *CancelReply) error {
	s.srv.cancelHere(args.Secret)
	return nil
}

// hostNumber is what callers see as the process id of a host's sessions.
func hostNumber(id topology.HostID) uint32 {
	const positive = 1<<31 - 1 // drivers take it as a signed number
	return uint32(xxhash.Sum64String(string(id))) & positive
}

// newSecret returns a random number that no other session has, not 0, under
// s.mu.
func (s *Server) newSecret() uint32 {
	for {
		var raw [4]byte
		_, _ = rand.Read(raw[:]) // never fails
		secret := binary.BigEndian.Uint32(raw[:])
		if _, taken := s.conns[secret]; !taken && secret != 0 {
			return secret
		}
	}
}

// cancel serves a cancel request, here or at the host that has the session.
func (s *Server) cancel(ctx context.Context, m *pgproto3.CancelRequest) {
	cancelsTotal.Inc()
	if len(m.SecretKey) != 4 {
		return
	}
	secret := binary.BigEndian.Uint32(m.SecretKey)
	if m.ProcessID == hostNumber(s.opts.Host) {
		s.cancelHere(secret)
		return
	}
	s.cancelElsewhere(ctx, m.ProcessID, secret)
}

func (s *Server) cancelHere(secret uint32) {
	s.mu.Lock()
	c := s.conns[secret]
	s.mu.Unlock()
	if c != nil {
		c.cancelRunning()
	}
}

func (s *Server) cancelElsewhere(ctx context.Context, number, secret uint32) {
	if s.opts.Fleet == nil || s.opts.Peers == nil {
		return
	}
	for _, h := range s.opts.Fleet.Hosts() {
		if h.ID == s.opts.Host || hostNumber(h.ID) != number {
			continue
		}
		err := s.opts.Peers.Call(ctx, h.ID, ServiceName+".Cancel", &CancelArgs{Secret: secret}, &CancelReply{})
		if err != nil {
			s.opts.Log.V(1).Info("cancel not forwarded", "host", h.ID, "code", result.As(err, result.HostUnreachable).Code)
		}
	}
}
