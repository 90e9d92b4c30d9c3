package quota

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the RPC service for requests between hosts.
const ServiceName = "Quota"

const (
	buyMethod  = ServiceName + ".Buy"
	stopMethod = ServiceName + ".Stop"
	cedeMethod = ServiceName + ".Cede"
	pingMethod = ServiceName + ".Ping"
)

// BuyArgs asks a seller for tokens.
type BuyArgs struct {
	From     topology.HostID
	Domain   topology.Domain // of From
	Customer topology.CustomerID
	Request  Request
	// Previous is the host that sold the last tokens, if that was another one; "": none
	// that matters.
	Previous topology.HostID
	// PreviousAge is the time since Previous sold tokens.
	PreviousAge time.Duration
	Alone       bool // From is out of reach of all sellers and asks itself
	Relays      int  // hosts that passed the request on
	Limit       Limit
	Version     uint64 // of the configuration that has the limit
}

// BuyReply is the answer. Seller is empty if the host sells no tokens to the sender.
type BuyReply struct {
	Seller  topology.HostID
	Grant   Grant
	Limit   Limit // under which the grant was made
	Version uint64
}

// StopArgs tells a host that another one sells a customer's tokens now.
type StopArgs struct {
	From     topology.HostID
	Customer topology.CustomerID
}

// StopReply has the tokens that the sender may sell now instead.
type StopReply struct {
	Done   bool
	Tokens float64
}

// CedeArgs tells a customer's coordinator that another host sells tokens with some votes,
// because it got no answer from the coordinator.
type CedeArgs struct {
	From     topology.HostID
	Domain   topology.Domain // of From
	Customer topology.CustomerID
	Votes    float64
}

// PingArgs asks for an answer.
type PingArgs struct{ From topology.HostID }

// Confirmation is a reply without content.
type Confirmation struct{ Done bool } // always true; gob can't encode a struct without fields

// Service is the RPC service.
type Service struct{ quota *Quota }

// Service returns the service to register under ServiceName.
func (q *Quota) Service() *Service { return &Service{quota: q} }

// Buy sells tokens to another host.
func (s *Service) Buy(args *BuyArgs, reply *BuyReply) error {
	s.quota.sell(args, reply)
	return nil
}

// Stop ends the sale of a customer's tokens by this host.
func (s *Service) Stop(args *StopArgs, reply *StopReply) error {
	q := s.quota
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.avoided, args.From)
	if outranks(args.Customer, args.From, q.opts.Self) {
		q.yielded[args.Customer] = yielding{to: args.From, until: now.Add(yieldPeriod)}
	}
	for _, ledgers := range q.ledgers {
		if l := ledgers[args.Customer]; l != nil {
			reply.Tokens += l.HandOver(now)
		}
	}
	reply.Done = true
	return nil
}

// Cede reduces what this host sells of a customer's tokens by the votes of another one.
func (s *Service) Cede(args *CedeArgs, reply *Confirmation) error {
	q := s.quota
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.ledgers[coordinator][args.Customer]; l != nil {
		l.ceded[args.From] = cession{domain: args.Domain, votes: args.Votes, until: now.Add(cedePeriod)}
		l.SetShare(q.votes.of(coordinator, l.ceded, now), now)
	}
	reply.Done = true
	return nil
}

// Ping confirms that this host answers.
func (s *Service) Ping(_ *PingArgs, reply *Confirmation) error {
	reply.Done = true
	return nil
}

// maxRelays limits how often a request is passed on: from the second deputy to the first
// to the coordinator. Hosts with different lists may pass it back and forth.
const maxRelays = 2

// sell answers a request for tokens. The coordinator sells; any other host passes the
// request on to it, and stands in for it while it is out of reach.
func (q *Quota) sell(args *BuyArgs, reply *BuyReply) {
	now := q.opts.Now()
	q.mu.Lock()
	q.prune(now)
	s := q.sellersFor(args.Customer)
	if args.Alone {
		q.sellAs(alone, args, reply, now)
		q.mu.Unlock()
		return
	}
	coordinators := []topology.HostID{s.coordinator}
	if y, ok := q.yielded[args.Customer]; ok && now.Before(y.until) && y.to != s.coordinator {
		coordinators = []topology.HostID{y.to, s.coordinator}
	}
	if coordinators[0] == q.opts.Self {
		q.sellAs(coordinator, args, reply, now)
		q.mu.Unlock()
		return
	}
	var before []topology.HostID // sellers that come before this host
	standsIn := false
	for _, host := range append(coordinators, s.deputies...) {
		if host == q.opts.Self {
			standsIn = args.Domain == q.opts.Domain || host == s.coordinator
			break
		}
		if host != args.From && !q.avoids(host, now) {
			before = append(before, host)
		}
	}
	q.mu.Unlock()
	if !standsIn {
		before = before[:min(len(before), 1)]
	}
	relayed := *args
	relayed.Relays++
	for _, host := range before {
		if args.Relays >= maxRelays {
			break
		}
		relayCounter.Inc()
		if err := q.call(host, buyMethod, &relayed, reply, relayTimeout); err == nil && reply.Seller != "" {
			return
		}
	}
	if standsIn {
		q.mu.Lock()
		defer q.mu.Unlock()
		as := deputy
		if s.coordinator == q.opts.Self {
			as = coordinator
		}
		q.sellAs(as, args, reply, q.opts.Now())
	}
}

// sellAs sells tokens in a role. The caller holds q.mu.
func (q *Quota) sellAs(r role, args *BuyArgs, reply *BuyReply, now time.Time) {
	limit, version := args.Limit, args.Version
	if c := q.opts.Configuration(); c != nil && c.Version > version {
		if customer := c.Customers[args.Customer]; customer.Rate > 0 {
			limit, version = Limit{Rate: customer.Rate, Burst: customer.Burst}, c.Version
		}
	}
	q.votes.update(q.opts.Reach, now)
	l := q.ledgers[r][args.Customer]
	if l == nil {
		l = &seller{Ledger: NewLedger(q.opts.Bounds, limit, version, q.votes.of(r, nil, now), now),
			stopped: map[topology.HostID]*stopping{}, ceded: map[topology.HostID]cession{}}
		q.ledgers[r][args.Customer] = l
		if args.Previous != "" && args.Previous != q.opts.Self && !q.avoids(args.Previous, now) {
			l.level = min(l.level, 1) // the rest comes from the other host, see takeOver
		}
	}
	l.SetLimit(limit, version, now)
	l.SetShare(q.votes.of(r, l.ceded, now), now)
	if r != coordinator {
		q.cede(l, args.Customer, now)
	}
	if args.Previous != "" && args.Previous != q.opts.Self {
		q.takeOver(l, args, now)
	}
	reply.Grant = l.Buy(args.From, args.Request, now)
	reply.Seller, reply.Limit, reply.Version = q.opts.Self, l.limit, l.version
	salesCounters[r].Inc()
}

// takeOver tells the host that sold the customer's tokens before to stop. A host that
// doesn't answer is told again once it isn't avoided any more. The caller holds q.mu.
func (q *Quota) takeOver(l *seller, args *BuyArgs, now time.Time) {
	previous := args.Previous
	s := l.stopped[previous]
	isNew := s == nil || now.Sub(s.at) >= stopInterval && now.Sub(s.at) >= args.PreviousAge
	if isNew || !s.told && !q.avoids(previous, now) {
		s = &stopping{at: now}
		l.stopped[previous] = s
		l.Restart(now)
	}
	if s.told || q.avoids(previous, now) {
		return
	}
	s.told = true
	stop := &StopArgs{From: q.opts.Self, Customer: args.Customer}
	go func() {
		var reply StopReply
		err := q.call(previous, stopMethod, stop, &reply, buyTimeout)
		q.mu.Lock()
		defer q.mu.Unlock()
		if err != nil {
			s.told = false
			return
		}
		l.TakeOver(reply.Tokens, q.opts.Now())
	}()
}

// cede tells the coordinator that this host sells with its own votes. If the coordinator
// is only slow, it sells without them then. The caller holds q.mu.
func (q *Quota) cede(l *seller, customer topology.CustomerID, now time.Time) {
	if now.Sub(l.cededAt) < cedeInterval {
		return
	}
	l.cededAt = now
	to := q.sellersFor(customer).coordinator
	if to == "" || to == q.opts.Self {
		return
	}
	args := &CedeArgs{From: q.opts.Self, Domain: q.opts.Domain, Customer: customer, Votes: l.share}
	go func() {
		if q.call(to, cedeMethod, args, &Confirmation{}, cedeTimeout) == nil {
			q.mu.Lock()
			delete(q.avoided, to)
			q.mu.Unlock()
		}
	}()
}
