package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	roundInterval = 300 * time.Millisecond // between rounds; changes are also spread at once (see TriggerRound)
	// startRoundInterval is the time between rounds of a host that has been up for less
	// than startPhase and has got no answer yet.
	startRoundInterval = 100 * time.Millisecond
	startPhase         = 3 * time.Second
	exchangeTimeout    = 280 * time.Millisecond // of one exchange; covers several network round trips
	// fanout is how many hosts one round contacts, or largeFleetFanout when a
	// host knows more than largeFleetThreshold others. A change reaches all hosts
	// within a few rounds, and the cost per host doesn't grow with the fleet.
	fanout              = 8
	largeFleetFanout    = 3
	largeFleetThreshold = 12
	// livenessTimeout is how long a host counts as live after it was last seen.
	// It is longer than a restart takes, so that a restarting host keeps its
	// share of the connections.
	livenessTimeout = 8 * time.Second
	// forgetAfter is how long a silent host is still contacted.
	forgetAfter = 60 * time.Second
)

// ClaimStore is the part of duty.Keeper that Gossip needs.
type ClaimStore interface {
	Learn(duty.Claim)
	Claims() []duty.Claim
	// Token returns the group's fencing token and whether this host holds the duty.
	Token(topology.GroupID) (token uint64, held bool)
}

// Options configures a Gossip.
type Options struct {
	Self  Host
	Seeds []topology.HostID
	// Domains are the failure domains of the deployment. They count for Connected even
	// if no host of them was ever heard from, so that a host that starts while it is
	// cut off doesn't take its own domain for the only one.
	Domains []topology.Domain
	// HostVotes makes the hosts of a domain share its vote, so that a partition that
	// runs through a domain leaves at most one side connected. Otherwise a domain is
	// reachable if any of its hosts is, and only fencing tokens keep two sides apart.
	HostVotes bool
	// ContactDomains makes each round of a large fleet contact every failure domain. With
	// hosts drawn at random, a domain of three is left out for ContactWindow 4 % of the
	// time, and counts as out of contact.
	ContactDomains bool
	// PreferOwnDomain makes hosts fetch snapshots from hosts of their own domain first.
	PreferOwnDomain bool
	Catalog         *catalog.Store
	Caller          peer.Caller
	// Offers returns what this host offers to others: its connections to targets.
	Offers func() []Offer
	// OnOffers is called with the offers in another host's answer and the time at
	// which the request was sent.
	OnOffers func(offers []Offer, at time.Time)
	// GrantLeases returns leases for another host on groups to which it has
	// connections. OnLeases is called with the leases in another host's answer and
	// the time at which the request was sent. Both are nil if no leases are needed.
	GrantLeases func(topology.HostID, []topology.GroupID) []lease.Lease
	OnLeases    func(leases []lease.Lease, sentAt time.Time)
	// StoreEra returns the store's newest era that this host knows of, and OnStoreEra
	// is called with what another host knows. Both may be nil.
	StoreEra   func() uint64
	OnStoreEra func(era uint64)
	Log        logr.Logger
}

// knownHost is what this host knows of another one.
type knownHost struct {
	host         Host
	lastHeard    time.Time // when its latest digest arrived, zero if none did
	lastReported time.Time // latest time at which other hosts report to have seen it
	contact      Contact
	addedAt      time.Time // when this host first learned its address
	reportedAt   time.Time // while it was never heard from: when another host last reported it to be running
	reported     HostPlace // while it was never heard from: as others report it
	silent       bool      // considered silent; set when that is logged
	offers       []Offer
	lastSum      uint64 // Sum of its latest digest
	// configuration and register are those that it had at its latest digest. Others can
	// fetch them from it if fetchable is set.
	configuration uint64
	register      catalog.StorePosition
	fetchable     bool
}

// Gossip exchanges digests with other hosts. Safe for concurrent use.
type Gossip struct {
	opts           Options
	now            func() time.Time
	claims         ClaimStore
	roundRequested chan struct{}
	startedAt      time.Time
	fetchers       [snapshotKinds]*fetcher
	snapshots      [snapshotKinds]*snapshotCache

	mu         sync.Mutex // guards the fields below
	self       Host
	hosts      map[topology.HostID]*knownHost
	addrByHash map[uint64]topology.HostID // addresses in hosts, by hashAddr
	contacts   map[topology.Domain]*Contact
	// firstHeardAt is when the first digest of another host arrived.
	firstHeardAt time.Time
	uploads      [snapshotKinds]uploads
	// announced, announcedPlaces and announcedHash are those of announcedHosts. announced is
	// nil after a change.
	announced       []topology.HostID
	announcedPlaces []HostPlace
	announcedHash   xxhash.Digest
	// lists is rebuilt once it is older than listsMaxAge, and at the next call after a
	// host joins, restarts or leaves.
	lists          hostLists
	listsBuiltAt   time.Time
	present        Sharers // see Present
	presentBuiltAt time.Time
	majorityCounts map[topology.Domain]int // known hosts by domain at majorityAt
	majorityAt     time.Time               // when most votes were last in contact
}

// lastSeen returns when the host was last heard from, by this host or by others.
func (k *knownHost) lastSeen() time.Time { return laterOf(k.lastHeard, k.lastReported) }

// isLive reports whether the host is running and isn't leaving. It is false until
// the host has sent a digest of its own, which holds its domain and incarnation.
func (k *knownHost) isLive(now time.Time) bool {
	return !k.lastHeard.IsZero() && now.Sub(k.lastSeen()) < livenessTimeout && !k.host.Leaving
}

// isReported reports whether another host has recently reported the host to be running
// and this host hasn't heard from it yet. Lists of hosts stop as soon as all agree, so
// that the ages of contacts count as well.
func (k *knownHost) isReported(now time.Time) bool {
	return k.lastHeard.IsZero() && !k.reportedAt.IsZero() && now.Sub(laterOf(k.reportedAt, k.lastReported)) < livenessTimeout
}

// place returns the host's place as it announced it, or else as others report it.
func (k *knownHost) place() HostPlace {
	if k.lastHeard.IsZero() {
		return k.reported
	}
	return HostPlace{Domain: k.host.Domain, Weight: k.host.Weight}
}

// New returns a Gossip that knows the seed hosts. Call SetClaims before Run.
func New(opts Options) *Gossip { return newWithClock(opts, steady.Now) }

// newWithClock is New with another clock than that of package steady, which isn't virtual
// in tests with package synctest.
func newWithClock(opts Options, now func() time.Time) *Gossip {
	g := &Gossip{opts: opts, now: now, self: opts.Self, roundRequested: make(chan struct{}, 1), startedAt: now(), fetchers: newFetchers(), snapshots: newSnapshotCaches(),
		hosts: map[topology.HostID]*knownHost{}, addrByHash: map[uint64]topology.HostID{}, contacts: map[topology.Domain]*Contact{}}
	g.AddHosts(opts.Seeds...)
	return g
}

// SetClaims sets the store that claims on duties are read from and merged into.
func (g *Gossip) SetClaims(claims ClaimStore) { g.claims = claims }

// AddHosts adds addresses of hosts to contact. The hosts needn't exist.
func (g *Gossip) AddHosts(addrs ...topology.HostID) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, addr := range addrs {
		if addr != g.self.Addr && g.hosts[addr] == nil {
			g.addHost(addr, now)
		}
	}
}

// addReported adds hosts that another host reports to be running. places is empty if that
// host is of an earlier version.
func (g *Gossip) addReported(addrs []topology.HostID, places []HostPlace) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, addr := range addrs {
		if addr == g.self.Addr {
			continue
		}
		k := g.hosts[addr]
		if k == nil {
			k = g.addHost(addr, now)
			g.listsBuiltAt = time.Time{}
		}
		if k.lastHeard.IsZero() {
			k.reportedAt = now
			if len(places) == len(addrs) && places[i].Domain != "" && places[i] != k.reported {
				k.reported, g.announced = places[i], nil
			}
		}
	}
}

// addHost adds a host. The caller holds g.mu.
func (g *Gossip) addHost(addr topology.HostID, now time.Time) *knownHost {
	k := &knownHost{host: Host{Addr: addr}, addedAt: now}
	g.hosts[addr], g.addrByHash[hashAddr(addr)] = k, addr
	return k
}

// Leave marks this host as leaving and announces that at once.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.self.Leaving = true
	g.mu.Unlock()
	g.TriggerRound()
}

// TriggerRound starts a round at once, to spread a change.
func (g *Gossip) TriggerRound() {
	select {
	case g.roundRequested <- struct{}{}:
	default: // a round is already requested
	}
}

// Run exchanges digests and fetches newer snapshots until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	for _, f := range g.fetchers {
		go g.runFetcher(ctx, f)
	}
	timer := time.NewTimer(g.nextRoundIn())
	defer timer.Stop()
	g.startRound(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			g.startRound(ctx)
			timer.Reset(g.nextRoundIn())
		case <-g.roundRequested:
			g.startRound(ctx)
		}
	}
}

// nextRoundIn returns the time until the next regular round. A host that has just
// started and got no answer yet tries more often: the others may be starting too.
func (g *Gossip) nextRoundIn() time.Duration {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.startedAt) < startPhase && !g.anyInContact(now) {
		return startRoundInterval
	}
	return roundInterval
}

// startRound starts an exchange with each host that selectPeers returns.
func (g *Gossip) startRound(ctx context.Context) {
	g.announceConnected()
	for _, id := range g.selectPeers() {
		go g.exchange(ctx, id)
	}
}

// announceConnected notes for the digests whether this host is connected.
func (g *Gossip) announceConnected() {
	if !g.opts.HostVotes {
		return
	}
	connected := g.Connected()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Connected = connected
}

// selectPeers returns the hosts to contact in this round, drawn at random. It
// removes hosts that have been silent for forgetAfter, except for the seeds.
func (g *Gossip) selectPeers() []topology.HostID {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []topology.HostID
	for id, k := range g.hosts {
		if now.Sub(laterOf(k.lastSeen(), k.addedAt)) > forgetAfter && !slices.Contains(g.opts.Seeds, id) {
			delete(g.hosts, id)
			delete(g.addrByHash, hashAddr(id))
			g.announced = nil
			continue
		}
		if !k.silent && !k.lastSeen().IsZero() && now.Sub(k.lastSeen()) > livenessTimeout {
			k.silent, g.announced = true, nil
			if !k.lastHeard.IsZero() {
				g.opts.Log.Info("host is silent", "peer", k.host.Name, "addr", id)
			}
		}
		ids = append(ids, id)
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if len(ids) <= largeFleetThreshold {
		return ids[:min(len(ids), fanout)]
	}
	if g.opts.ContactDomains {
		return g.withEachDomain(ids, now)
	}
	return ids[:largeFleetFanout]
}

// withEachDomain returns one recently seen host of each other failure domain, and further
// hosts up to largeFleetFanout. The caller holds g.mu.
func (g *Gossip) withEachDomain(ids []topology.HostID, now time.Time) []topology.HostID {
	var selected []topology.HostID
	covered := map[topology.Domain]bool{g.self.Domain: true}
	for _, id := range ids {
		k := g.hosts[id]
		if k.lastHeard.IsZero() || covered[k.host.Domain] || now.Sub(k.lastSeen()) >= relayedContactWindow {
			continue
		}
		covered[k.host.Domain] = true
		selected = append(selected, id)
	}
	for _, id := range ids {
		if len(selected) >= largeFleetFanout {
			break
		}
		if !slices.Contains(selected, id) {
			selected = append(selected, id)
		}
	}
	return selected
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
