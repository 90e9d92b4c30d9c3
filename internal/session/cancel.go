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

// ServiceName is the RPC name under which CancelService is registered.
const ServiceName = "Session"

// CancelArgs identifies the session to cancel by its cancel secret.
type CancelArgs struct{ Secret uint32 }

// CancelReply is empty.
type CancelReply struct{}

// CancelService handles cancel requests that other hosts received and forwarded.
type CancelService struct{ srv *Server }

// Cancel cancels the running request of the session with that secret.
func (s *CancelService) Cancel(args *CancelArgs, _ *CancelReply) error {
	s.srv.cancelLocal(args.Secret)
	return nil
}

// hostProcessID returns the process id that clients see for the sessions of a
// host. Cancel requests carry it, so that any host can forward them.
func hostProcessID(id topology.HostID) uint32 {
	const maxInt32 = 1<<31 - 1 // some drivers parse the id as a signed integer
	return uint32(xxhash.Sum64String(string(id))) & maxInt32
}

// newCancelSecret returns a random number other than 0 that no session uses. The
// caller must hold s.mu.
func (s *Server) newCancelSecret() uint32 {
	for {
		var raw [4]byte
		_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails
		secret := binary.BigEndian.Uint32(raw[:])
		if _, taken := s.connsBySecret[secret]; !taken && secret != 0 {
			return secret
		}
	}
}

// handleCancelRequest cancels a session of this host, or forwards the request to
// the host that has the session.
func (s *Server) handleCancelRequest(ctx context.Context, m *pgproto3.CancelRequest) {
	cancelsTotal.Inc()
	if len(m.SecretKey) != 4 {
		return
	}
	secret := binary.BigEndian.Uint32(m.SecretKey)
	if m.ProcessID == hostProcessID(s.opts.Host) {
		s.cancelLocal(secret)
		return
	}
	s.forwardCancel(ctx, m.ProcessID, secret)
}

// cancelLocal cancels the running request of a session of this host.
func (s *Server) cancelLocal(secret uint32) {
	s.mu.Lock()
	c := s.connsBySecret[secret]
	s.mu.Unlock()
	if c != nil {
		c.cancelRunning()
	}
}

// forwardCancel sends a cancel request to every other host with that process id.
// Process ids are hashes, so that two hosts may share one.
func (s *Server) forwardCancel(ctx context.Context, processID, secret uint32) {
	if s.opts.Fleet == nil || s.opts.Peers == nil {
		return
	}
	for _, h := range s.opts.Fleet.Hosts() {
		if h.ID == s.opts.Host || hostProcessID(h.ID) != processID {
			continue
		}
		err := s.opts.Peers.Call(ctx, h.ID, ServiceName+".Cancel", &CancelArgs{Secret: secret}, &CancelReply{})
		if err != nil {
			s.opts.Log.V(1).Info("failed to forward a cancel request", "host", h.ID, "code", result.As(err, result.HostUnreachable).Code)
		}
	}
}
