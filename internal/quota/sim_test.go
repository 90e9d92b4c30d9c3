package quota

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// The simulation runs the package's own code on many hosts in simulated time. It models
// the network and what gossip knows: hosts that were seen and domains that answered, with
// the delays of internal/gossip.
const (
	simLatency       = 1 * time.Millisecond
	simRound         = 300 * time.Millisecond // of gossip
	simContactWindow = 800 * time.Millisecond // gossip.ContactWindow
	simSeenWindow    = 2 * time.Second        // relayedContactWindow of gossip
	simLargeFleet    = 12                     // largeFleetThreshold of gossip
	simLiveness      = 3 * time.Second        // presentWindow of gossip
)

var simBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// sim is a fleet. Its fields are guarded by mu.
type sim struct {
	mu       sync.Mutex
	start    time.Time
	rng      *rand.Rand
	hosts    []*simHost
	domains  int
	config   *catalog.Configuration   // the newest
	configs  []*catalog.Configuration // by host, those in force
	cut      map[[2]int]bool          // directed, between domains
	isolated map[int]bool
	poll     time.Duration // between looks at demand
	demand   func(host int, at time.Duration) float64
	keep     func(at time.Duration) bool // whether an operation counts in offered; nil: always

	customers                []topology.CustomerID
	limits                   []Limit // by customer
	usual                    bool    // each customer's demand is its rate / 1.6, evenly over the hosts, instead of demand
	byHalfSecond             map[time.Duration]tally
	ran                      map[topology.CustomerID][]time.Duration
	offered, admitted, calls int
	waitedMax                time.Duration
	ended                    bool
}

// tally counts operations by when they were sent.
type tally struct{ offered, admitted int }

type simHost struct {
	sim      *sim
	index    int
	id       topology.HostID
	domain   int
	quota    *Quota
	dead     bool
	silent   bool // dead without a refusal of calls
	thawAt   time.Time
	seen     map[int]time.Time
	contacts map[int]time.Time // by domain
	direct   map[int]time.Time // by host
	list     []topology.Host
	version  uint64
}

func newSim(seed uint64, hosts, domains, customers int, limit Limit) *sim {
	s := &sim{start: time.Now(), poll: 50 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)), domains: domains, cut: map[[2]int]bool{}, isolated: map[int]bool{}, ran: map[topology.CustomerID][]time.Duration{}, byHalfSecond: map[time.Duration]tally{}}
	for i := range customers {
		s.customers = append(s.customers, topology.CustomerID("c"+strconv.Itoa(i)))
		s.limits = append(s.limits, limit)
	}
	s.config = s.configuration(1, s.limits)
	for i := range hosts {
		h := &simHost{sim: s, index: i, id: topology.HostID("h" + strconv.Itoa(i)), domain: i % domains}
		s.hosts = append(s.hosts, h)
		s.configs = append(s.configs, s.config)
	}
	for _, h := range s.hosts {
		h.boot()
	}
	s.round()
	return s
}

// setLimits gives the fleet one customer for each limit. It is called before run.
func (s *sim) setLimits(limits []Limit) {
	s.customers, s.limits = nil, limits
	for i := range limits {
		s.customers = append(s.customers, topology.CustomerID("c"+strconv.Itoa(i)))
	}
	s.config = s.configuration(1, limits)
	for i := range s.configs {
		s.configs[i] = s.config
	}
}

func (s *sim) configuration(version uint64, limits []Limit) *catalog.Configuration {
	c := &catalog.Configuration{Version: version, Customers: map[topology.CustomerID]catalog.Customer{}}
	for i, id := range s.customers {
		c.Customers[id] = catalog.Customer{ID: id, Rate: limits[i].Rate, Burst: limits[i].Burst}
	}
	return c
}

// boot starts a host without any knowledge.
func (h *simHost) boot() {
	h.dead, h.silent, h.thawAt = false, false, time.Time{}
	h.seen, h.contacts, h.direct = map[int]time.Time{}, map[int]time.Time{}, map[int]time.Time{}
	h.updateList(time.Now())
	h.quota = New(Options{Self: h.id, Domain: domainName(h.domain), Peers: h, Hosts: h.hosts, Reach: h.reach,
		Configuration: func() *catalog.Configuration {
			h.sim.mu.Lock()
			defer h.sim.mu.Unlock()
			return h.sim.configs[h.index]
		},
		Bounds: simBounds, Now: time.Now, Log: logr.Discard()})
}

func domainName(d int) topology.Domain { return topology.Domain("d" + strconv.Itoa(d)) }

func (h *simHost) hosts() ([]topology.Host, uint64) {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	return h.list, h.version
}

func (h *simHost) up(now time.Time) bool { return !h.dead && !now.Before(h.thawAt) }

// coordinatorIndex returns the coordinator of the first customer.
func (s *sim) coordinatorIndex(list []topology.Host) int {
	id := chooseSellers(fleet.NewIndex(list), s.customers[0], "").coordinator
	return slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.id == id })
}
