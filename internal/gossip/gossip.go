package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	interval = 300 * time.Millisecond // between rounds; news travel at once besides
	timeout  = 280 * time.Millisecond // of one exchange, some round trips
	// fanout is how many hosts one round asks, and largeFanout how many of a
	// fleet larger than largeFleet: news reach all in some rounds, and what a
	// host spends doesn't grow with the fleet.
	fanout      = 8
	largeFanout = 3
	largeFleet  = 12
	// liveFor is how long a host counts as live after it was heard of. Hosts
	// restart within it, and their share of connections is kept for them.
	liveFor = 8 * time.Second
	// ContactFor is how recently a host must have been sent a request that it
	// answered, to count as in contact: two rounds.
	ContactFor = 800 * time.Millisecond
	// forgetAfter is how long a silent host is still asked.
	forgetAfter = 60 * time.Second
)

// Claims is the part of duty.Keeper that gossip needs.
type Claims interface {
	Learn(duty.Claim)
	Claims() []duty.Claim
}

// Options configures a Gossip.
type Options struct {
	Self    Host
	Seeds   []topology.HostID
	Catalog *catalog.Store
	Caller  peer.Caller
	// Offers returns this host's connections to targets.
	Offers func() []Offer
	// Heard is told what another host offers, and when it was asked.
	Heard func(offers []Offer, at time.Time)
	Log   logr.Logger
}

// known is a host that this one has heard of.
type known struct {
	host     Host
	heard    time.Time // zero: never
	told     time.Time // when somebody heard of it, as others tell
	answered time.Time // when the request was sent that it answered last
	named    time.Time // since when it is known
	lost     bool      // its silence was logged
	offers   []Offer
	sum      uint64 // that it told last
}

// Gossip exchanges digests with other hosts. Safe for concurrent use.
type Gossip struct {
	opts   Options
	claims Claims
	kick   chan struct{}
	better chan topology.HostID // a host that has what this one lacks
	begun  time.Time

	mu    sync.Mutex
	self  Host
	hosts map[topology.HostID]*known
	byKey map[uint64]topology.HostID // the same hosts by keyOf
	// sharers is renewed every sharersFor, and at once when a host is new, or
	// another process, or leaves.
	sharers   Sharers
	sharersAt time.Time
}

// last returns when a host was heard of, directly or through others.
func (k *known) last() time.Time { return later(k.heard, k.told) }

// live tells whether the host counts as one that runs and goes on running. What
// it is must have come from itself.
func (k *known) live(now time.Time) bool {
	return !k.heard.IsZero() && now.Sub(k.last()) < liveFor && !k.host.Leaving
}

// New returns a gossip that knows the seeds. SetClaims must be called before Run.
func New(opts Options) *Gossip {
	g := &Gossip{opts: opts, self: opts.Self, kick: make(chan struct{}, 1), better: make(chan topology.HostID, 1), begun: steady.Now(),
		hosts: map[topology.HostID]*known{}, byKey: map[uint64]topology.HostID{}}
	g.Add(opts.Seeds...)
	return g
}

// SetClaims joins the keeper of duties.
func (g *Gossip) SetClaims(c Claims) { g.claims = c }

// Add names hosts that may exist.
func (g *Gossip) Add(addrs ...topology.HostID) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, addr := range addrs {
		if addr != g.self.Addr && g.hosts[addr] == nil {
			g.name(addr, now)
		}
	}
}

// name adds a host. It needs g.mu.
func (g *Gossip) name(addr topology.HostID, now time.Time) *known {
	k := &known{host: Host{Addr: addr}, named: now}
	g.hosts[addr], g.byKey[keyOf(addr)] = k, addr
	return k
}

// ask makes Run ask one host at once, unless another is to be asked already.
func (g *Gossip) ask(id topology.HostID) {
	select {
	case g.better <- id:
	default: // that host has news, too
	}
}

// Leave announces that this host leaves.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.self.Leaving = true
	g.mu.Unlock()
	g.Kick()
}

// Kick starts a round at once, to spread news.
func (g *Gossip) Kick() {
	select {
	case g.kick <- struct{}{}:
	default: // a round is due anyway
	}
}

// Run exchanges digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	g.askSome(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.askSome(ctx)
		case <-g.kick:
			g.askSome(ctx)
		case id := <-g.better:
			go g.exchange(ctx, id)
		}
	}
}

func (g *Gossip) askSome(ctx context.Context) {
	for _, id := range g.round() {
		go g.exchange(ctx, id)
	}
}

// round returns the hosts to ask, and forgets those silent for long.
func (g *Gossip) round() []topology.HostID {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []topology.HostID
	for id, k := range g.hosts {
		if now.Sub(later(k.last(), k.named)) > forgetAfter && !slices.Contains(g.opts.Seeds, id) {
			delete(g.hosts, id)
			delete(g.byKey, keyOf(id))
			continue
		}
		if !k.lost && !k.heard.IsZero() && now.Sub(k.last()) > liveFor {
			k.lost = true
			g.opts.Log.Info("host is silent", "peer", k.host.Name, "addr", id)
		}
		ids = append(ids, id)
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if len(ids) > largeFleet {
		return ids[:largeFanout]
	}
	return ids[:min(len(ids), fanout)]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
