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
	// PreviousBegan is Grant.Began of Previous. Several sellers that fail one after the other
	// would begin with more than the tolerance together.
	PreviousBegan bool
	Alone         bool // From is out of reach of all sellers and asks itself
	Relays        int  // hosts that passed the request on
	// Meanwhile asks an earlier coordinator to go on selling if it has more votes than the
	// new one, which has Votes.
	Meanwhile bool
	Votes     float64
	Limit     Limit
	Version   uint64 // of the configuration that has the limit
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
	// Unknown tells that the receiver has no account of the customer, since it restarted.
	Unknown bool
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
	reply.Unknown = true
	for _, ledgers := range q.ledgers {
		if l := ledgers[args.Customer]; l != nil {
			reply.Unknown = false
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
		before := l.ceded[args.From]
		l.ceded[args.From] = cession{domain: args.Domain, votes: args.Votes, until: now.Add(cedePeriod), stopping: true}
		l.SetShare(q.votes.of(coordinator, l.ceded, now), now)
		if !before.stopping || !now.Before(before.until) {
			go q.endCession(l, args.Customer, args.From)
		}
	}
	reply.Done = true
	return nil
}

// endCession tells a host that stands in for this one to stop. This host may only have
// been slow for a moment, and it has no votes to sell with until the other one stops.
func (q *Quota) endCession(l *seller, customer topology.CustomerID, host topology.HostID) {
	sentAt := q.opts.Now()
	var reply StopReply
	err := q.call(host, stopMethod, &StopArgs{From: q.opts.Self, Customer: customer}, &reply, buyTimeout)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Now()
	c, ok := l.ceded[host]
	if !ok {
		return
	}
	c.stopping = false
	l.ceded[host] = c
	if err != nil {
		return
	}
	if !c.until.After(sentAt.Add(cedePeriod)) { // it didn't sell again since
		delete(l.ceded, host)
	}
	l.SetShare(q.votes.of(coordinator, l.ceded, now), now)
	l.TakeOver(reply.Tokens, now)
}

// Ping confirms that this host answers.
func (s *Service) Ping(_ *PingArgs, reply *Confirmation) error {
	reply.Done = true
	return nil
}

// maxRelays limits how often a request is passed on: from the second deputy to the first
// to the coordinator. Hosts with different lists may pass it back and forth.
const maxRelays = 2

// allVotes is the sum of all votes with an allowance for rounding.
const allVotes = 0.999

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
	if args.Meanwhile {
		if l := q.ledgers[coordinator][args.Customer]; l != nil && !l.paused && l.share > args.Votes {
			q.sellAs(coordinator, args, reply, now)
		}
		q.mu.Unlock()
		return
	}
	coordinators := []topology.HostID{s.coordinator}
	if y, ok := q.yielded[args.Customer]; ok && now.Before(y.until) && y.to != s.coordinator {
		coordinators = []topology.HostID{y.to, s.coordinator}
	}
	if coordinators[0] == q.opts.Self {
		q.votes.update(q.opts.Reach, now)
		share := q.votes.of(coordinator, nil, now)
		if share < allVotes && args.Previous != "" && args.Previous != q.opts.Self && args.Relays < maxRelays && !q.avoids(args.Previous, now) {
			q.mu.Unlock()
			if q.sellMeanwhile(args, share, reply) {
				return
			}
			q.mu.Lock()
		}
		// Without votes, nothing is sold here, and nothing to a domain that doesn't get this
		// host's answers. The sender asks a deputy then.
		if lost := q.votes.domains[args.Domain]; share > 0 && (lost == nil || lost.part > 0 || !lost.raisedAt.IsZero()) {
			q.sellAs(coordinator, args, reply, q.opts.Now())
		}
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

// sellMeanwhile passes a request on to the earlier coordinator, which sells if it has more
// votes than this host. After a contact has come back, its votes would be lost otherwise
// until they count here (reachRaiseDelay), and its customers refused.
func (q *Quota) sellMeanwhile(args *BuyArgs, share float64, reply *BuyReply) bool {
	relayed := *args
	relayed.Relays, relayed.Meanwhile, relayed.Votes = maxRelays, true, share
	relayCounter.Inc()
	return q.call(args.Previous, buyMethod, &relayed, reply, relayTimeout) == nil && reply.Seller != ""
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
	if l == nil && r == coordinator && args.Previous == "" {
		// This host or the sender may have been away and know no earlier seller.
		args.Previous = q.standby(args.Customer)
	}
	if l == nil {
		l = &seller{begun: true, Ledger: NewLedger(q.opts.Bounds, limit, version, q.votes.of(r, nil, now), now),
			stopped: map[topology.HostID]*stopping{}, ceded: map[topology.HostID]cession{}}
		q.ledgers[r][args.Customer] = l
		if args.Previous != "" && args.Previous != q.opts.Self && !q.avoids(args.Previous, now) {
			l.level = min(l.level, 1) // the rest comes from the other host, see takeOver
			l.begun, l.begunAt = false, time.Time{}
			if args.PreviousBegan {
				l.begunAt = now
			}
		}
	}
	l.SetLimit(limit, version, now)
	l.SetShare(q.votes.of(r, l.ceded, now), now)
	if r != coordinator {
		q.cede(l, args.Customer, now)
	}
	if args.Previous != "" && args.Previous != q.opts.Self {
		q.takeOver(l, r, args, now)
	}
	if l.handOver != nil && l.level < float64(args.Request.Need) {
		now = q.awaitTakeOver(l.handOver)
	}
	reply.Grant = l.Buy(args.From, args.Request, now)
	reply.Seller, reply.Limit, reply.Version = q.opts.Self, l.limit, l.version
	salesCounters[r].Inc()
}

// standby returns the host that coordinates the customer while this one is away; "": none.
// The caller holds q.mu.
func (q *Quota) standby(customer topology.CustomerID) topology.HostID {
	q.sellersFor(customer) // updates the index
	for _, host := range q.index.Holders(topology.Target{ID: topology.TargetID(customer), Slots: 2}) {
		if host != q.opts.Self {
			return host
		}
	}
	return ""
}

// takeOver tells the host that sold the customer's tokens before to stop. A host that
// doesn't answer is told again once it isn't avoided any more. The caller holds q.mu.
func (q *Quota) takeOver(l *seller, r role, args *BuyArgs, now time.Time) {
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
	if r != coordinator && previous == q.sellersFor(args.Customer).coordinator {
		// It is slow or doesn't get answers to this host: it would give up its tokens although
		// its answer is lost. It is told of this host's votes instead, see cede.
		if !l.begun && !args.PreviousBegan {
			l.begin(now, 1)
		}
		l.begun = true
		return
	}
	answered := make(chan struct{})
	s.told, l.handOver = true, answered
	began := args.PreviousBegan
	stop := &StopArgs{From: q.opts.Self, Customer: args.Customer}
	go func() {
		var reply StopReply
		err := q.call(previous, stopMethod, stop, &reply, buyTimeout)
		q.mu.Lock()
		defer q.mu.Unlock()
		defer close(answered)
		if l.handOver == answered {
			l.handOver = nil
		}
		s.told = err == nil
		if err != nil || reply.Unknown {
			if !l.begun && !began { // nothing comes from the other host
				l.begin(q.opts.Now(), 1)
			}
			l.begun = true
			return
		}
		l.begun = true
		l.TakeOver(reply.Tokens, q.opts.Now())
	}()
}

// awaitTakeOver waits until the earlier seller gave up its tokens, takeOverWait at most.
// Without it, operations would be refused in the moment in which sellers change. The caller
// holds q.mu, which is released meanwhile.
func (q *Quota) awaitTakeOver(answered <-chan struct{}) time.Time {
	q.mu.Unlock()
	timer := time.NewTimer(takeOverWait)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	}
	q.mu.Lock()
	return q.opts.Now()
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
