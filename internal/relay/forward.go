package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
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
	// AtOnce: it is to be run only if a connection is free, and else refused.
	AtOnce bool
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

// Ran is another host's answer, with its load after it.
type Ran struct {
	Answer statement.Answer
	Load   placement.Load
}

// Peers runs statements on other hosts.
type Peers interface {
	// Offers lists the hosts with connections to the group's targets.
	Offers(topology.GroupID) []placement.Offer
	// Call is peer.Caller's.
	Call(ctx context.Context, host topology.HostID, method string, args, reply any) error
}

// leastForward is the time that must be left for a statement to be sent to
// another host: some round trips and the work.
const leastForward = 20 * time.Millisecond

// connectWithin is how long a statement waits for a connection to another host:
// several round trips between failure domains. It may be sent to yet another one
// then; one of a transaction that is kept elsewhere may not, but a host that
// can't be reached again by then is most likely cut off. It was 500 ms before.
const connectWithin = 100 * time.Millisecond

// pickPeer returns the next host to send the statement to, and whether it is to
// run it at once or not at all. free: this host's own connections are taken, and
// another one is of use only if it has a free one.
func (r *request) pickPeer(leader, free bool) (host topology.HostID, atOnce, ok bool) {
	server := r.session.server
	switch {
	case server.opts.Peers == nil, time.Until(r.deadline) < leastForward, len(r.asked) >= placement.MostAsked:
		return "", false, false
	case len(r.asked) > 0 && time.Since(r.arrived) > patience(&r.route, 0):
		return "", false, false
	}
	id := r.route.Group
	offers := server.loads.Present(id, server.opts.Peers.Offers(id), steady.Now())
	offer, ok := placement.Pick(offers, placement.Need{Leader: leader, Free: free, Not: r.asked}, rand.IntN)
	if !ok {
		return "", false, false
	}
	r.asked = append(r.asked, offer.Host)
	last := len(r.asked) == placement.MostAsked || len(r.asked) == len(offers)
	return offer.Host, free || !last, true
}

// callPeer sends a statement to another host and remembers the load that it tells.
func (s *Server) callPeer(ctx context.Context, host topology.HostID, id topology.GroupID, args *Forwarded) (statement.Answer, error) {
	s.forwards.Inc()
	s.loads.Sent(host, id, steady.Now())
	var ran Ran
	if err := s.opts.Peers.Call(peer.ConnectWithin(ctx, connectWithin), host, runMethod, args, &ran); err != nil {
		s.loads.Failed(host, id, steady.Now())
		return statement.Answer{}, err
	}
	s.loads.Answered(host, id, ran.Load, steady.Now())
	return ran.Answer, nil
}

// forward runs the statement on another host. ok is false if none may run it,
// or if it surely didn't run there.
func (r *request) forward(ctx context.Context, leader, free bool) (answer statement.Answer, ok bool) {
	if r.fromPeer || r.session.tx != nil {
		return statement.Answer{}, false
	}
	for {
		host, atOnce, ok := r.pickPeer(leader, free)
		if !ok {
			return statement.Answer{}, false
		}
		if answer, ran := r.runAt(ctx, host, atOnce); ran {
			return answer, true
		}
	}
}

// runAt runs the statement at another host. ran is false if it surely didn't
// run, or is a read that may be repeated.
func (r *request) runAt(ctx context.Context, host topology.HostID, atOnce bool) (answer statement.Answer, ran bool) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	args := r.toForward()
	args.AtOnce = atOnce
	answer, err := r.session.server.callPeer(ctx, host, r.route.Group, args)
	if err == nil {
		r.note(topology.TargetID(host), "asked: "+answer.Code.String()+" "+answer.Detail)
		if answer.OK() && r.writes {
			r.session.raiseFloor(&answer)
		}
		if !answer.Code.NotRun() {
			return answer, true
		}
		r.refusedThere = answer.Detail
		return answer, false
	}
	r.note(topology.TargetID(host), "asked, and lost: "+err.Error())
	var coded *result.Error
	if !r.writes || (errors.As(err, &coded) && coded.Code == result.HostUnreachable) {
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
func (s *Service) Run(args *Forwarded, reply *Ran) error {
	reply.Answer = s.server.runForPeer(args)
	reply.Load = s.server.loadFor(args.Database)
	return nil
}

// loadFor returns this host's load of the group that serves the database, the
// zero value if it knows of none.
func (s *Server) loadFor(database string) placement.Load {
	c := s.opts.Catalog.Configuration()
	if c == nil {
		return placement.Load{}
	}
	if g := s.opts.Groups.Group(c.Routes[database].Group); g != nil {
		return g.Load()
	}
	return placement.Load{}
}

func (s *Server) runForPeer(args *Forwarded) statement.Answer {
	if s.version() < args.Configuration {
		return statement.Answer{Code: statement.Busy, Detail: "the host asked has an older configuration"}
	}
	if args.Transaction.Key != "" {
		return s.hosted.step(args)
	}
	session := s.newSession(nil)
	session.adopt(args)
	st := args.Statement
	r, refused := session.newRequest(&st, args.Writes, args.Uses)
	if refused != nil {
		return *refused
	}
	r.fromPeer = true
	r.deadline = r.arrived.Add(min(args.Within, r.route.StatementTimeout))
	answer, ok := r.run(context.Background())
	if !ok && !r.atOnce { // that none was free at once is told by the asking host
		r.logOutcome("statement for another host", &answer, false)
	}
	return answer
}

// adopt takes the state of another host's session.
func (s *session) adopt(args *Forwarded) {
	s.database, s.floor, s.atOnce = args.Database, args.Floor, args.AtOnce
	s.state.settings = s.state.settings[:0]
	for _, v := range args.Settings {
		s.state.settings = append(s.state.settings, setting{name: v.Text, text: v.Text, sequence: v.Sequence})
	}
	if args.Uses != "" {
		s.state.prepared[args.Uses] = args.Prepared
	}
}
