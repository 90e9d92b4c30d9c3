package lease

import "nettlewalk.example/nettlewalk/internal/topology"

// ServiceName is the RPC service for requests between lessees and grantors.
const ServiceName = "Lease"

const (
	renewMethod     = ServiceName + ".Renew"
	revokeMethod    = ServiceName + ".Revoke"
	availableMethod = ServiceName + ".Available"
)

// RenewArgs asks a holder for leases.
type RenewArgs struct {
	From   topology.HostID
	Groups []topology.GroupID
}

// RenewReply contains the leases that were granted.
type RenewReply struct{ Leases []Lease }

// RevokeArgs tells a lessee that its lease ends.
type RevokeArgs struct {
	Group topology.GroupID
	Token uint64 // of the holder
}

// AvailableArgs tells a host that leases on the group are granted again.
type AvailableArgs struct{ Group topology.GroupID }

// Empty is a reply without content.
type Empty struct{ Done bool } // Done is always true; gob can't encode a struct without fields

// Service is the RPC service of both sides.
type Service struct {
	grantor *Grantor
	lessee  *Lessee
}

// NewService returns the service to register under ServiceName.
func NewService(g *Grantor, l *Lessee) *Service { return &Service{grantor: g, lessee: l} }

// Renew grants leases to another host.
func (s *Service) Renew(args *RenewArgs, reply *RenewReply) error {
	reply.Leases = s.grantor.Grant(args.From, args.Groups)
	return nil
}

// Revoke ends a lease of this host. Its reply confirms that.
func (s *Service) Revoke(args *RevokeArgs, reply *Empty) error {
	s.lessee.revoke(args.Group, args.Token)
	reply.Done = true
	return nil
}

// Available makes this host ask for leases at once.
func (s *Service) Available(_ *AvailableArgs, reply *Empty) error {
	s.lessee.WakeUp()
	reply.Done = true
	return nil
}
