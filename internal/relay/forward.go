package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the RPC service under which hosts run statements for each other.
const ServiceName = "Relay"

const runMethod = ServiceName + ".Run"

// RunArgs is a request to another host to run one statement. It carries the
// session state that the target needs.
type RunArgs struct {
	// Configuration is the sender's configuration version. A host with an older
	// configuration refuses the statement.
	Configuration uint64
	Database      string
	// Key is the one that the caller gave, "" if none. The receiving host finds the
	// customer in its own configuration, so that an older one of the sender can't matter.
	Key       string
	Statement statement.Statement
	Writes    bool
	Uses      string              // name of the prepared statement that it runs; "": none
	Prepared  statement.Statement // the prepared statement of that name
	Settings  []Setting           // in ascending Sequence
	Floor     topology.Position   // log position that reads of the session must include
	Within    time.Duration       // time left until the deadline
	// AtOnce makes the host refuse the statement if no connection is free, rather
	// than queue it.
	AtOnce bool
	// FromDomain is the sender's failure domain, and MustLeave tells that it has no place
	// for the statement. Both are set only if the sender routes by cost.
	FromDomain topology.Domain
	MustLeave  bool
	// Again is set if a target may have got the statement before. It then earns no retry.
	Again bool
	// Transaction is set if the statement belongs to a transaction that the
	// receiving host runs.
	Transaction Transaction
}

// Setting is a session value as its caller set it.
type Setting struct {
	Text     string // the SET statement
	Sequence int    // increases with each SET of the session
}

// Transaction identifies a transaction that one host runs for another's session.
type Transaction struct {
	Key      string // chosen by the session's host; empty: no transaction
	ReadOnly bool   // declared so by the caller
	First    bool   // the statement begins the transaction
}

// RunReply is the reply to RunArgs: the answer, and the load of the host that gave it.
type RunReply struct {
	Answer statement.Answer
	Load   placement.Load
	// NeverRan is set if the statement certainly ran at no target.
	NeverRan bool
}

// Peers runs statements on other hosts.
type Peers interface {
	// Offers lists the hosts with connections to the group's targets.
	Offers(topology.GroupID) []placement.Offer
	// Call calls a method of another host, as peer.Caller does.
	Call(ctx context.Context, host topology.HostID, method string, args, reply any) error
}

// minForwardTime is the time that must remain for a statement to be forwarded:
// some round trips and the execution.
const minForwardTime = 20 * time.Millisecond

// peerConnectTimeout is how long a statement waits for a connection to another
// host: several round trips between failure domains. A single statement may then
// be forwarded to a different host. A statement of a transaction that a peer runs
// may not, but a peer that is unreachable for that long is most likely cut off.
const peerConnectTimeout = 100 * time.Millisecond

// pickPeer chooses the next host to forward the statement to. noWait tells
// whether that host must refuse the statement if it has no free connection.
// needsFree is set if this host's own connections are all in use, so that only a
// host with a free connection helps.
func (r *request) pickPeer(needsLeader, needsFree bool) (host topology.HostID, noWait, ok bool) {
	server := r.session.server
	switch {
	case server.opts.Peers == nil, time.Until(r.deadline) < minForwardTime, len(r.askedHosts) >= placement.MaxHostsAsked:
		return "", false, false
	case len(r.askedHosts) > 0 && time.Since(r.arrivedAt) > maxQueueWait(&r.route, 0):
		return "", false, false
	}
	groupID := r.route.Group
	offers := server.peerLoads.CurrentOffers(groupID, server.opts.Peers.Offers(groupID), steady.Now())
	need := placement.Requirements{NeedsLeader: needsLeader, FreeOnly: needsFree, Exclude: r.askedHosts}
	var offer placement.Offer
	homes := r.homes()
	if len(homes.Order) > 0 {
		offer, ok = placement.PickHome(offers, need, homes.Order, homes.Count, rand.IntN)
	} else {
		offers = r.offersByCost(offers, needsLeader, needsFree)
		offer, ok = placement.Pick(offers, need, rand.IntN)
	}
	if !ok {
		return "", false, false
	}
	if !r.chargeAsking() {
		return "", false, false
	}
	r.askedHosts, r.askedDomain = append(r.askedHosts, offer.Host), offer.Domain
	lastAttempt := len(r.askedHosts) == placement.MaxHostsAsked
	switch {
	case lastAttempt:
	case len(homes.Order) > 0: // a host may be the only one with connections that serve the statement
		need.Exclude = r.askedHosts
		_, more := placement.PickHome(offers, need, homes.Order, homes.Count, rand.IntN)
		lastAttempt = !more
	default: // offersByCost may have left out hosts that were asked
		lastAttempt = !slices.ContainsFunc(offers, r.isUnasked)
	}
	return offer.Host, needsFree || !lastAttempt && r.prepayAsking(), true
}

func (r *request) isUnasked(o placement.Offer) bool { return !slices.Contains(r.askedHosts, o.Host) }

// homes returns the order in which holders serve the request's customer, without an
// entry if there is none.
func (r *request) homes() share.Homes {
	opts := &r.session.server.opts
	if opts.Homes == nil || r.session.customer == "" {
		return share.Homes{}
	}
	return opts.Homes(r.route.Group, r.session.customer)
}

// mayOpen reports whether this host opens a connection for the request's customer
// before another host is asked: it is a home host of the customer, or the request has
// been forwarded to it.
func (r *request) mayOpen() bool {
	if r.session.customer == "" {
		return false
	}
	if r.fromPeer || r.session.forPeer {
		return true
	}
	homes := r.homes()
	return homes.Contains(r.session.server.opts.Self)
}

// callPeer forwards a statement to another host and records the load that it reports.
func (r *request) callPeer(ctx context.Context, host topology.HostID, args *RunArgs) (statement.Answer, error) {
	s, groupID := r.session.server, r.route.Group
	s.forwardedCounter.Inc()
	s.peerLoads.RecordSent(host, groupID, steady.Now())
	var reply RunReply
	if err := s.opts.Peers.Call(peer.WithConnectTimeout(ctx, peerConnectTimeout), host, runMethod, args, &reply); err != nil {
		s.peerLoads.RecordFailure(host, groupID, steady.Now())
		var resultErr *result.Error
		r.mayHaveRun = r.mayHaveRun || !errors.As(err, &resultErr) || resultErr.Code != result.HostUnreachable
		return statement.Answer{}, err
	}
	r.mayHaveRun = r.mayHaveRun || !reply.NeverRan
	s.peerLoads.RecordAnswer(host, groupID, reply.Load, steady.Now())
	return reply.Answer, nil
}

// forward runs the statement on another host. ok is false if no host answered it:
// it certainly didn't run, or it is a read that may be repeated.
func (r *request) forward(ctx context.Context, needsLeader, needsFree bool) (answer statement.Answer, ok bool) {
	if r.fromPeer || r.session.tx != nil {
		return statement.Answer{}, false
	}
	defer r.refundPrepaid()
	for {
		host, noWait, ok := r.pickPeer(needsLeader, needsFree)
		if !ok {
			return statement.Answer{}, false
		}
		if answer, ran := r.forwardTo(ctx, host, noWait, needsLeader); ran {
			return answer, true
		}
	}
}

// forwardTo runs the statement on the given host. ran is false if it certainly
// didn't run there, or is a read that may be repeated.
func (r *request) forwardTo(ctx context.Context, host topology.HostID, noWait, needsLeader bool) (answer statement.Answer, ran bool) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	args := r.forwardArgs()
	args.AtOnce = noWait
	sentAt := time.Now()
	answer, err := r.callPeer(ctx, host, args)
	if err == nil {
		r.recordForwardBytes(args, &answer)
		r.addStep(topology.TargetID(host), "forwarded: "+answer.Code.String()+" "+answer.Detail)
		if answer.OK() {
			r.session.server.retrySchedules.noteServed(r.route.Group, needsLeader)
		}
		if answer.OK() && r.writes {
			r.session.raiseFloor(&answer)
		}
		if !answer.Code.NotRun() || answer.Code == statement.NoAuth {
			r.recordForward(locality.Served, sentAt, needsLeader)
			return answer, true // its configuration is at least as new as this host's
		}
		if !noWait || r.askedDomain != r.router().Domain() {
			r.recordForward(locality.Refused, sentAt, needsLeader)
		}
		r.peerRefusal = answer.Detail
		r.peerRetryAfter, r.peerRetryAt = answer.RetryAfter, time.Now()
		return answer, false
	}
	r.recordForward(locality.NoAnswer, sentAt, needsLeader)
	r.addStep(topology.TargetID(host), "forwarding failed: "+err.Error())
	var resultErr *result.Error
	if !r.writes || (errors.As(err, &resultErr) && resultErr.Code == result.HostUnreachable) {
		return statement.Answer{}, false
	}
	code := statement.InDoubt
	if time.Now().After(r.deadline) {
		code = statement.TimedOut
	}
	return r.session.refusal(code, err.Error()), true
}

// forwardArgs returns the statement with its session's state.
func (r *request) forwardArgs() *RunArgs {
	args := &RunArgs{
		Configuration: r.session.server.configurationVersion(), Database: r.session.database, Key: r.session.key, Statement: *r.st, Writes: r.writes, Uses: r.preparedName,
		Floor: r.session.floor, Within: time.Until(r.deadline),
		Again: r.wasSent(),
	}
	if r.preparedName != "" {
		args.Prepared = r.session.state.prepared[r.preparedName]
	}
	if router := r.router(); router != nil {
		args.FromDomain, args.MustLeave = router.Domain(), r.mustLeave
	}
	for _, v := range r.session.state.settings {
		args.Settings = append(args.Settings, Setting{Text: v.text, Sequence: v.sequence})
	}
	return args
}

// Service runs statements for other hosts.
type Service struct{ server *Server }

// Service returns the service to register under ServiceName.
func (s *Server) Service() *Service { return &Service{server: s} }

// Run runs one statement as if its caller were connected to this host. It never
// forwards the statement again.
func (s *Service) Run(args *RunArgs, reply *RunReply) error {
	reply.Answer, reply.NeverRan = s.server.runForwarded(args)
	reply.Load = s.server.groupLoad(args.Database)
	return nil
}

// groupLoad returns this host's load for the group that serves the database, or
// the zero value if the group is unknown.
func (s *Server) groupLoad(database string) placement.Load {
	c := s.opts.Catalog.Configuration()
	if c == nil {
		return placement.Load{}
	}
	if g := s.opts.Groups.Group(c.Routes[database].Group); g != nil {
		return g.Load()
	}
	return placement.Load{}
}

// runForwarded also reports whether the statement certainly ran at no target.
func (s *Server) runForwarded(args *RunArgs) (a statement.Answer, neverRan bool) {
	if s.configurationVersion() < args.Configuration {
		return statement.Answer{Code: statement.Busy, Detail: "the receiving host has an older configuration"}, true
	}
	if !s.acceptsForeign(args) {
		return statement.Answer{Code: statement.Busy, Detail: foreignRefusedDetail}, true
	}
	if args.Transaction.Key != "" {
		a := s.forwardedTxs.runStatement(args)
		return a, args.Transaction.First && a.Code.NotRun()
	}
	session := s.newSession(nil)
	session.applyForwarded(args)
	st := args.Statement
	if a, refused := session.checkKey(&st); refused {
		return a, true
	}
	r, refused := session.newRequest(&st, args.Writes, args.Uses)
	if refused != nil {
		return *refused, true
	}
	r.fromPeer = true
	r.earned = earnedBefore(args)
	r.deadline = r.arrivedAt.Add(min(args.Within, r.route.StatementTimeout))
	answer, ok := r.run(context.Background())
	r.addRetryTime(&answer)
	if !ok && !r.noWait { // the forwarding host logs the refusal of a no-wait statement
		r.logOutcome("forwarded statement", &answer, false)
	}
	return answer, !r.mayHaveRun
}

// applyForwarded applies the state of another host's session to this session.
func (s *session) applyForwarded(args *RunArgs) {
	s.key = args.Key // authenticate finds its customer in this host's configuration
	s.foreign = args.FromDomain != "" && args.FromDomain != s.server.opts.Locality.Domain()
	s.database, s.floor, s.noWait = args.Database, args.Floor, args.AtOnce
	s.state.settings = s.state.settings[:0]
	for _, v := range args.Settings {
		s.state.settings = append(s.state.settings, setting{name: v.Text, text: v.Text, sequence: v.Sequence})
	}
	if args.Uses != "" {
		s.state.prepared[args.Uses] = args.Prepared
	}
}
