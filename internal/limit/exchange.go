package limit

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which Service is registered for RPC between
// hosts.
const ServiceName = "Limit"

const (
	exchangePeriod      = 1 * time.Second        // between exchanges with coordinators
	exchangeTimeout     = 500 * time.Millisecond // per call to one coordinator
	demandTTL           = 3 * exchangePeriod     // after which a demand that is not renewed expires
	maxParallelRequests = 32                     // coordinators called in parallel
	maxReportedDemands  = 200                    // accounts that a host reports in one period
)

// Demand is a host's demand for a customer's limits in a group. Part is the demand
// as a fraction of the customer's fleet-wide limits.
type Demand struct {
	Customer topology.CustomerID
	Group    topology.GroupID
	Part     float64
}

// ShareArgs are the arguments of Service.Share: the demands of one host.
type ShareArgs struct {
	Host    topology.HostID
	Demands []Demand
}

// ShareReply is the reply of Service.Share. Shares holds the host's share of each
// limit, in the order of ShareArgs.Demands.
type ShareReply struct{ Shares []float64 }

// reportedDemand is a demand that the coordinator received from a host.
type reportedDemand struct {
	fraction   float64
	receivedAt time.Time
}

// Service is the net/rpc service of the coordinator. It divides limits among hosts.
type Service struct{ limiter *Limiter }

// Service returns the RPC service to register under ServiceName.
func (l *Limiter) Service() *Service { return &Service{limiter: l} }

// Share records a host's demands and returns its shares.
func (s *Service) Share(args *ShareArgs, reply *ShareReply) error {
	l := s.limiter
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, demand := range args.Demands {
		k := accountKey{demand.Customer, demand.Group}
		if l.demands[k] == nil {
			l.demands[k] = map[topology.HostID]reportedDemand{}
		}
		l.demands[k][args.Host] = reportedDemand{fraction: demand.Part, receivedAt: now}
		reply.Shares = append(reply.Shares, Shares(l.hostCount, l.currentDemands(k, now))[args.Host])
	}
	return nil
}

// currentDemands returns the unexpired demands for an account by host and removes
// the expired ones.
func (l *Limiter) currentDemands(k accountKey, now time.Time) map[topology.HostID]float64 {
	fractions := map[topology.HostID]float64{}
	for id, demand := range l.demands[k] {
		if now.Sub(demand.receivedAt) > demandTTL {
			delete(l.demands[k], id)
			continue
		}
		fractions[id] = demand.fraction
	}
	return fractions
}

// Run exchanges demands and shares with the coordinators until ctx is done.
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

// exchange reports this host's demands to the coordinators and applies the shares
// that they return.
func (l *Limiter) exchange(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(maxParallelRequests)
	for id, demands := range l.collectDemands(l.liveHosts()) {
		calls.Go(func() error {
			shares, err := l.requestShares(ctx, id, demands)
			l.applyShares(demands, shares, err)
			return nil
		})
	}
	_ = calls.Wait()
}

// liveHosts returns the hosts in state HostLive.
func (l *Limiter) liveHosts() []topology.Host {
	if l.opts.Hosts == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(l.opts.Hosts()), func(host topology.Host) bool {
		return host.State != topology.HostLive
	})
}

// collectDemands returns the demands to report to each coordinator. Accounts with
// little demand, or above maxReportedDemands, get the equal share instead. It also
// removes idle accounts and expired demands.
func (l *Limiter) collectDemands(hosts []topology.Host) map[topology.HostID][]Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostCount = len(hosts)
	due := map[topology.HostID][]Demand{}
	reported := 0
	for k, e := range l.entries {
		if e.account.Idle() && len(e.waiters) == 0 {
			delete(l.entries, k)
			continue
		}
		fraction := e.account.TakeDemand(e.fleetLimits, exchangePeriod)
		if fraction < unreportedFraction*equalShare(l.hostCount) || reported >= maxReportedDemands {
			l.setShare(e, equalShare(l.hostCount))
			continue
		}
		reported++
		coordinatorID := coordinator(k.customer, hosts)
		due[coordinatorID] = append(due[coordinatorID], Demand{Customer: k.customer, Group: k.group, Part: fraction})
	}
	for k := range l.demands {
		if len(l.currentDemands(k, time.Now())) == 0 {
			delete(l.demands, k)
		}
	}
	return due
}

// requestShares reports demands to a coordinator and returns the shares. Without a
// remote coordinator this host divides the limits itself.
func (l *Limiter) requestShares(ctx context.Context, coordinatorID topology.HostID, demands []Demand) ([]float64, error) {
	args := &ShareArgs{Host: l.opts.Self, Demands: demands}
	var reply ShareReply
	if coordinatorID == l.opts.Self || coordinatorID == "" || l.opts.Peers == nil {
		err := l.Service().Share(args, &reply)
		return reply.Shares, err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	err := l.opts.Peers.Call(ctx, coordinatorID, ServiceName+".Share", args, &reply)
	return reply.Shares, err
}

// applyShares sets the shares of the accounts in demands. An account without a
// share in the reply gets the equal share.
func (l *Limiter) applyShares(demands []Demand, shares []float64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, demand := range demands {
		e := l.entries[accountKey{demand.Customer, demand.Group}]
		switch {
		case e == nil:
		case err != nil || i >= len(shares):
			l.setShare(e, equalShare(l.hostCount))
		default:
			l.setShare(e, shares[i])
		}
	}
}

// setShare sets the account's share and starts the waiting statements that now fit.
func (l *Limiter) setShare(e *entry, share float64) {
	e.share = share
	e.account.SetLimits(e.fleetLimits, share)
	l.startQueued(e)
}
