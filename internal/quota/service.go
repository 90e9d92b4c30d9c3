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

// StopReply confirms that.
type StopReply struct{ Done bool } // always true; gob can't encode a struct without fields

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
	for _, ledgers := range q.ledgers {
		if l := ledgers[args.Customer]; l != nil {
			l.Restart(now)
		}
	}
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
	q.updateIndex()
	s := chooseSellers(q.index, args.Customer, q.opts.Domain)
	if args.Alone {
		q.sellAs(alone, args, reply, now)
		q.mu.Unlock()
		return
	}
	if s.coordinator == q.opts.Self {
		q.sellAs(coordinator, args, reply, now)
		q.mu.Unlock()
		return
	}
	var before []topology.HostID // sellers that come before this host
	standsIn := false
	for _, host := range append([]topology.HostID{s.coordinator}, s.deputies...) {
		if host == q.opts.Self {
			standsIn = args.Domain == q.opts.Domain
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
		if err := q.call(host, buyMethod, &relayed, reply); err == nil && reply.Seller != "" {
			return
		}
	}
	if standsIn {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.sellAs(deputy, args, reply, q.opts.Now())
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
	share := q.share(r, now)
	l := q.ledgers[r][args.Customer]
	if l == nil {
		l = &seller{Ledger: NewLedger(q.opts.Bounds, limit, version, share, now), stopped: map[topology.HostID]time.Time{}}
		q.ledgers[r][args.Customer] = l
	}
	l.SetLimit(limit, version, now)
	l.SetShare(share, now)
	if args.Previous != "" && args.Previous != q.opts.Self {
		q.takeOver(l, args, now)
	}
	reply.Grant = l.Buy(args.From, args.Request, now)
	reply.Seller, reply.Limit, reply.Version = q.opts.Self, l.limit, l.version
	salesCounters[r].Inc()
}

// takeOver tells the host that sold the customer's tokens before to stop. The caller
// holds q.mu.
func (q *Quota) takeOver(l *seller, args *BuyArgs, now time.Time) {
	if at, ok := l.stopped[args.Previous]; ok && (now.Sub(at) < stopInterval || now.Sub(at) < args.PreviousAge) {
		return
	}
	l.stopped[args.Previous] = now
	l.Restart(now)
	if q.avoids(args.Previous, now) {
		return
	}
	previous, stop := args.Previous, &StopArgs{From: q.opts.Self, Customer: args.Customer}
	go func() { _ = q.call(previous, stopMethod, stop, &StopReply{}) }()
}

// share returns the part of the limits that this host may sell in a role. A larger part
// counts only after reachRaiseDelay. The caller holds q.mu.
func (q *Quota) share(r role, now time.Time) float64 {
	first := q.reachAt.IsZero()
	if !first && now.Sub(q.reachAt) < reachMaxAge {
		return q.shares[r]
	}
	q.reachAt = now
	reach := q.opts.Reach()
	for i, share := range [roles]float64{coordinator: reach.Fleet, deputy: reach.Domain, alone: reach.Self} {
		switch {
		case first || share <= q.shares[i]:
			q.shares[i], q.reachRaisedAt[i] = share, time.Time{}
		case q.reachRaisedAt[i].IsZero():
			q.reachRaisedAt[i] = now
		case now.Sub(q.reachRaisedAt[i]) >= reachRaiseDelay:
			q.shares[i] = share
		}
	}
	return q.shares[r]
}
