package limit

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name of the peers' service.
const ServiceName = "Limit"

const (
	exchangePeriod  = 1 * time.Second        // between exchanges with coordinators
	exchangeTimeout = 500 * time.Millisecond // for one coordinator
	demandLife      = 3 * exchangePeriod     // after which a host that doesn't ask again counts as silent
	parallelAsks    = 32                     // coordinators that are asked at once
	sharedDemands   = 200                    // customers and groups that a host tells about in one period
)

// Demand is a host's use of a customer's limits in a group, as part of them.
type Demand struct {
	Customer topology.CustomerID
	Group    topology.GroupID
	Part     float64
}

// ShareArgs are a host's demands.
type ShareArgs struct {
	Host    topology.HostID
	Demands []Demand
}

// ShareReply has the host's share of each, in the order of the demands.
type ShareReply struct{ Shares []float64 }

// told is a demand as the coordinator keeps it.
type told struct {
	part float64
	at   time.Time
}

// Service divides limits for other hosts. Its methods have net/rpc's form.
type Service struct{ limiter *Limiter }

// Service returns what is to be registered under ServiceName.
func (l *Limiter) Service() *Service { return &Service{limiter: l} }

// Share takes a host's demands and returns its shares.
func (s *Service) Share(args *ShareArgs, reply *ShareReply) error {
	l := s.limiter
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, demand := range args.Demands {
		k := key{demand.Customer, demand.Group}
		if l.demands[k] == nil {
			l.demands[k] = map[topology.HostID]told{}
		}
		l.demands[k][args.Host] = told{part: demand.Part, at: now}
		reply.Shares = append(reply.Shares, Shares(l.hosts, l.living(k, now))[args.Host])
	}
	return nil
}

// living returns the demands of a customer that are still current.
func (l *Limiter) living(k key, now time.Time) map[topology.HostID]float64 {
	parts := map[topology.HostID]float64{}
	for id, demand := range l.demands[k] {
		if now.Sub(demand.at) > demandLife {
			delete(l.demands[k], id)
			continue
		}
		parts[id] = demand.part
	}
	return parts
}

// Run exchanges demands with coordinators until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	if l.opts.Hosts == nil {
		return
	}
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	for {
		l.exchange(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// exchange tells this host's demands and takes its shares.
func (l *Limiter) exchange(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(parallelAsks)
	for id, demands := range l.collect(l.liveHosts()) {
		calls.Go(func() error {
			shares, err := l.ask(ctx, id, demands)
			l.take(demands, shares, err)
			return nil
		})
	}
	_ = calls.Wait()
}

func (l *Limiter) liveHosts() []topology.Host {
	if l.opts.Hosts == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(l.opts.Hosts()), func(host topology.Host) bool {
		return host.State != topology.HostLive
	})
}

// collect returns what is to be told to each coordinator, and gives customers
// with little demand the equal share.
func (l *Limiter) collect(hosts []topology.Host) map[topology.HostID][]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = len(hosts)
	due := map[topology.HostID][]Demand{}
	count := 0
	for k, e := range l.entries {
		if e.account.Idle() && len(e.waiters) == 0 {
			delete(l.entries, k)
			continue
		}
		part := e.account.Demand(e.whole, exchangePeriod)
		if part < silentPart*equalShare(l.hosts) || count >= sharedDemands {
			l.setShare(e, equalShare(l.hosts))
			continue
		}
		count++
		to := coordinator(k.customer, hosts)
		due[to] = append(due[to], Demand{Customer: k.customer, Group: k.group, Part: part})
	}
	for k := range l.demands {
		if len(l.living(k, time.Now())) == 0 {
			delete(l.demands, k)
		}
	}
	return due
}

func (l *Limiter) ask(ctx context.Context, to topology.HostID, demands []Demand) ([]float64, error) {
	args := &ShareArgs{Host: l.opts.Self, Demands: demands}
	var reply ShareReply
	if to == l.opts.Self || to == "" || l.opts.Peers == nil {
		err := l.Service().Share(args, &reply)
		return reply.Shares, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err := l.opts.Peers.Call(ctx, to, ServiceName+".Share", args, &reply)
	return reply.Shares, err
}

// take puts the shares in force; without an answer the equal ones.
func (l *Limiter) take(demands []Demand, shares []float64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, demand := range demands {
		e := l.entries[key{demand.Customer, demand.Group}]
		switch {
		case e == nil:
		case err != nil || i >= len(shares):
			l.setShare(e, equalShare(l.hosts))
		default:
			l.setShare(e, shares[i])
		}
	}
}

func (l *Limiter) setShare(e *entry, share float64) {
	e.share = share
	e.account.SetLimits(e.whole, share)
	l.startWaiting(e)
}
