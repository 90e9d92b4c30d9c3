package share

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// The load of one group of the Wholesale deployment: 76 customers with sizes like
// 1/rank^1.25, so that the largest has 30 % and most have less than 0.5 %.
const (
	simCustomers  = 76
	simExponent   = 1.25
	simHosts      = 67
	simLimit      = 56
	simWorkSlots  = 4
	simQueue      = 32
	simDialWork   = 12 * time.Millisecond
	simRoundTrip  = 2 * time.Millisecond
	simRate       = 135.0 // operations a second
	simMaxWait    = 180 * time.Millisecond
	simStatements = 3 // of a transaction
)

const simDuration = 20 * time.Second

// simFleet is the holders of one group before its three targets, of which the first
// leads.
type simFleet struct {
	t       *testing.T
	targets []*simTarget
	holders []topology.HostID
	pools   map[topology.HostID][]*Pool
	shares  map[topology.CustomerID]float64
	ids     []topology.CustomerID // largest first
	homes   map[topology.CustomerID]Homes
	size    int
	// randomHolder sends each request to any holder rather than to a home host.
	randomHolder bool

	mu       sync.Mutex
	dead     map[topology.HostID]bool
	outcomes map[topology.CustomerID]*simOutcome
	answered [3][]time.Duration // time from a request to its answer, by priority
	shed     int                // requests that a target refused
	wrong    int                // statements that ran on a connection of another customer
	requests sync.WaitGroup
}

type simOutcome struct {
	served, refused int
	waits           []time.Duration
}

func newSimFleet(t *testing.T) *simFleet {
	holders, size := PlanForCustomers(simLimit, simHosts)
	f := &simFleet{
		t: t, pools: map[topology.HostID][]*Pool{}, homes: map[topology.CustomerID]Homes{}, dead: map[topology.HostID]bool{},
		outcomes: map[topology.CustomerID]*simOutcome{}, size: size,
	}
	rates := map[topology.CustomerID]float64{}
	for rank := 1; rank <= simCustomers; rank++ {
		id := topology.CustomerID(fmt.Sprintf("customer-%02d", rank))
		f.ids = append(f.ids, id)
		rates[id] = 1000 / math.Pow(float64(rank), simExponent)
		f.outcomes[id] = &simOutcome{}
	}
	f.shares = CustomerShares(rates)
	for i := range 3 {
		f.targets = append(f.targets, &simTarget{id: topology.TargetID(fmt.Sprintf("t%d", i)), slots: make(chan struct{}, simWorkSlots)})
	}
	for _, host := range WeightedHolders("g", holders, newHosts(simHosts)) {
		f.holders = append(f.holders, host.ID)
	}
	known := map[topology.CustomerID]bool{}
	for _, id := range f.ids {
		known[id] = true
		f.homes[id] = HomesOf("g", id, f.holders, f.shares[id])
	}
	for _, host := range f.holders {
		var weights []CustomerWeight
		for _, id := range f.ids {
			if homes := f.homes[id]; homes.Contains(host) {
				weights = append(weights, CustomerWeight{id, f.shares[id] / float64(homes.Count)})
			}
		}
		for _, target := range f.targets {
			f.pools[host] = append(f.pools[host], NewPool(Options{
				Target: topology.Target{ID: target.id}, Dialer: target, Size: size, OnDial: func(topology.TargetID, error) {},
				Customers: &Customers{Known: known, Preopen: Preopen(weights, size)},
			}))
		}
	}
	return f
}

func (f *simFleet) close() {
	for _, pools := range f.pools {
		for _, p := range pools {
			p.Close()
		}
	}
}

// settle lets the pools open their connections, and forgets the dials for that.
func (f *simFleet) settle() {
	time.Sleep(3 * time.Second)
	for _, target := range f.targets {
		target.mu.Lock()
		target.dials = 0
		target.mu.Unlock()
	}
}

// reset forgets the outcomes so far.
func (f *simFleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.outcomes {
		f.outcomes[id] = &simOutcome{}
	}
	f.answered = [3][]time.Duration{}
	for _, target := range f.targets {
		target.mu.Lock()
		target.dials, target.shed = 0, 0
		target.mu.Unlock()
	}
}
