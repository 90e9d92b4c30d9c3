package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which hosts run statements for each other.
const ServiceName = "Relay"

const runMethod = ServiceName + ".Run"

// Forwarded is a single statement that another host is asked to run, with what
// the target must know of its session.
type Forwarded struct {
	// Configuration is the version by which the statement may run. A host that
	// knows only an older one refuses it.
	Configuration uint64
	Database      string
	Statement     statement.Statement
	Writes        bool
	Uses          string              // prepared name
	Prepared      statement.Statement // of that name
	Settings      []Setting           // in their order
	Floor         topology.Position
	Within        time.Duration // what is left until the deadline
	// Transaction is set for a statement of a transaction that the other host keeps.
	Transaction Transaction
}

// Setting is a session value as its caller set it.
type Setting struct {
	Text     string
	Sequence int // rises with each SET of the session
}

// Transaction names a transaction that one host keeps for another's session.
type Transaction struct {
	Key      string // of the session; empty: no transaction
	ReadOnly bool   // as its caller declared it
	First    bool   // the statement begins it
}

// Offer is another host that may run statements of a group.
type Offer struct {
	Host  topology.HostID
	Leads bool // it has a connection to the target that it believes to lead
	Idle  int  // connections without work, as last heard
	Open  int
}

// Peers runs statements on other hosts.
type Peers interface {
	// Offers lists the hosts with connections to the group's targets.
	Offers(topology.GroupID) []Offer
	// Call is peer.Caller's.
	Call(ctx context.Context, host topology.HostID, method string, args, reply any) error
}

// pickPeer returns the host to send a statement to: one with idle connections,
// to the leader if it must run there. busy tells that this host has connections
// itself, so that a host as busy is no better.
func pickPeer(offers []Offer, leader, busy bool) (best Offer, ok bool) {
	for _, o := range offers {
		if (leader && !o.Leads) || (busy && o.Idle == 0) {
			continue
		}
		if !ok || o.Idle > best.Idle || (o.Idle == best.Idle && o.Open > best.Open) {
			best, ok = o, true
		}
	}
	return best, ok
}

// leastForward is the time that must be left for a statement to be sent to
// another host: some round trips and the work.
const leastForward = 20 * time.Millisecond

// forward runs the statement on another host. ok is false if none may run it,
// or if it surely didn't run there.
func (r *request) forward(ctx context.Context, leader, busy bool) (answer statement.Answer, ok bool) {
	peers := r.session.server.opts.Peers
	if r.forwarded || peers == nil || r.session.tx != nil || time.Until(r.deadline) < leastForward {
		return statement.Answer{}, false
	}
	offer, ok := pickPeer(peers.Offers(r.route.Group), leader, busy)
	if !ok {
		return statement.Answer{}, false
	}
	r.forwarded = true
	r.note(topology.TargetID(offer.Host), "asked to run it")
	args := r.toForward()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	err := peers.Call(ctx, offer.Host, runMethod, args, &answer)
	r.session.server.forwards.Inc()
	if err == nil {
		if answer.OK() && r.writes {
			r.session.raiseFloor(&answer)
		}
		return answer, !answer.Code.NotRun()
	}
	var coded *result.Error
	if errors.As(err, &coded) && coded.Code == result.HostUnreachable {
		return statement.Answer{}, false
	}
	if !r.writes {
		return statement.Answer{}, false
	}
	code := statement.InDoubt
	if time.Now().After(r.deadline) {
		code = statement.TimedOut
	}
	return r.session.refusal(code, err.Error()), true
}

// toForward returns the statement with its session's state.
func (r *request) toForward() *Forwarded {
	f := &Forwarded{
		Configuration: r.session.server.version(), Database: r.session.database, Statement: *r.st, Writes: r.writes, Uses: r.uses,
		Floor: r.session.floor, Within: time.Until(r.deadline),
	}
	if r.uses != "" {
		f.Prepared = r.session.state.prepared[r.uses]
	}
	for _, v := range r.session.state.settings {
		f.Settings = append(f.Settings, Setting{Text: v.text, Sequence: v.sequence})
	}
	return f
}

// Service runs other hosts' statements.
type Service struct{ server *Server }

// Service returns what is to be registered under ServiceName.
func (s *Server) Service() *Service { return &Service{server: s} }

// Run runs one statement as if its caller were here. It is not sent on again.
func (s *Service) Run(args *Forwarded, reply *statement.Answer) error {
	if s.server.version() < args.Configuration {
		*reply = statement.Answer{Code: statement.Busy, Detail: "the host asked has an older configuration"}
		return nil
	}
	if args.Transaction.Key != "" {
		*reply = s.server.hosted.step(args)
		return nil
	}
	session := s.server.newSession(nil)
	session.adopt(args)
	st := args.Statement
	r, refused := session.newRequest(&st, args.Writes, args.Uses)
	if refused != nil {
		*reply = *refused
		return nil
	}
	r.forwarded = true
	r.deadline = r.arrived.Add(min(args.Within, r.route.StatementTimeout))
	*reply, _ = r.run(context.Background())
	return nil
}

// adopt takes the state of another host's session.
func (s *session) adopt(args *Forwarded) {
	s.database, s.floor = args.Database, args.Floor
	s.state.settings = s.state.settings[:0]
	for _, v := range args.Settings {
		s.state.settings = append(s.state.settings, setting{name: v.Text, text: v.Text, sequence: v.Sequence})
	}
	if args.Uses != "" {
		s.state.prepared[args.Uses] = args.Prepared
	}
}
