package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// contactFor is how recently a host must have been sent a request that it
	// answered, to count as in contact: two rounds.
	contactFor = 800 * time.Millisecond
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
	// Heard is told what another host offers.
	Heard func([]Offer)
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
	begun  time.Time

	mu    sync.Mutex
	self  Host
	hosts map[topology.HostID]*known
}

// New returns a gossip that knows the seeds. SetClaims must be called before Run.
func New(opts Options) *Gossip {
	g := &Gossip{opts: opts, self: opts.Self, kick: make(chan struct{}, 1), begun: steady.Now(), hosts: map[topology.HostID]*known{}}
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
			g.hosts[addr] = &known{host: Host{Addr: addr}, named: now}
		}
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

// HeardAgo implements duty.Hosts.
func (g *Gossip) HeardAgo(id topology.HostID) (time.Duration, bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.hosts[id]
	if k == nil || (k.heard.IsZero() && k.told.IsZero()) {
		return 0, false
	}
	return now.Sub(later(k.heard, k.told)), true
}

// Connected tells whether hosts in more than half of the failure domains have
// answered within contactFor. A host that isn't connected gives no orders, and
// takes no duty: those on the other side of a cut may have taken it.
func (g *Gossip) Connected() bool {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	domains := map[topology.Domain]bool{g.self.Domain: true}
	for _, k := range g.hosts {
		if k.heard.IsZero() || now.Sub(k.heard) > liveFor || k.host.Leaving {
			continue
		}
		near := now.Sub(k.answered) < contactFor
		domains[k.host.Domain] = domains[k.host.Domain] || near
	}
	connected := 0
	for _, near := range domains {
		if near {
			connected++
		}
	}
	return 2*connected > len(domains)
}

// Live implements duty.Hosts: the hosts heard of lately, this one included.
func (g *Gossip) Live() []topology.HostID {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	live := []topology.HostID{g.self.Addr}
	for id, k := range g.hosts {
		if !k.heard.IsZero() && now.Sub(k.heard) < liveFor && !k.host.Leaving {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// Settled tells whether this host may take its share of the targets'
// connections: it has been up for so long, or another host has. When all start
// at once, the first would take what the others' old connections leave.
func (g *Gossip) Settled(upFor time.Duration) bool {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.begun) >= upFor {
		return true
	}
	for _, k := range g.hosts {
		if !k.heard.IsZero() && k.host.UpFor+now.Sub(k.heard) >= upFor {
			return true
		}
	}
	return false
}

// Rank returns this host's place among the live hosts, 0 if it is in contact
// with none.
func (g *Gossip) Rank() int {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	rank, contact := 0, false
	for id, k := range g.hosts {
		contact = contact || now.Sub(k.answered) < contactFor
		if id < g.self.Addr && !k.heard.IsZero() && now.Sub(k.heard) < liveFor && !k.host.Leaving {
			rank++
		}
	}
	if !contact {
		return 0
	}
	return rank
}

// Sharers returns the hosts that share the targets' connections, with their
// failure domains: those heard of lately that don't leave, this one included.
func (g *Gossip) Sharers() []topology.Host {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	list := []topology.Host{{ID: g.self.Addr, Domain: g.self.Domain, State: topology.HostLive}}
	for id, k := range g.hosts {
		if !k.heard.IsZero() && now.Sub(k.heard) < liveFor && !k.host.Leaving {
			list = append(list, topology.Host{ID: id, Domain: k.host.Domain, State: topology.HostLive})
		}
	}
	slices.SortFunc(list, func(a, b topology.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Hosts returns what is known of each other host.
func (g *Gossip) Hosts() []Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Host, 0, len(g.hosts))
	for _, k := range g.hosts {
		list = append(list, k.host)
	}
	return list
}

// offersFor is how old another host's offers may be: a little over two rounds.
const offersFor = 1200 * time.Millisecond

// Offers returns what other hosts offered lately, by host. Hosts that leave
// offer nothing.
func (g *Gossip) Offers() map[topology.HostID][]Offer {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	offers := map[topology.HostID][]Offer{}
	for id, k := range g.hosts {
		if !k.heard.IsZero() && now.Sub(k.heard) < offersFor && !k.host.Leaving {
			offers[id] = k.offers
		}
	}
	return offers
}

// Run exchanges digests until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, id := range g.round() {
			go g.exchange(ctx, id)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.kick:
		}
	}
}

// round returns the hosts to ask, and forgets those silent for long.
func (g *Gossip) round() []topology.HostID {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []topology.HostID
	for id, k := range g.hosts {
		if now.Sub(later(k.heard, k.named)) > forgetAfter && !slices.Contains(g.opts.Seeds, id) {
			delete(g.hosts, id)
			continue
		}
		if !k.lost && !k.heard.IsZero() && now.Sub(k.heard) > liveFor {
			k.lost = true
			g.opts.Log.Info("host is silent", "host", k.host.Name, "addr", id)
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

func (g *Gossip) exchange(ctx context.Context, id topology.HostID) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	digest := g.digest(id)
	var news News
	sent := steady.Now()
	if err := g.opts.Caller.Call(ctx, id, exchangeMethod, &digest, &news); err != nil {
		g.opts.Log.V(1).Info("no answer from a host", "addr", id, "error", err.Error())
		return
	}
	g.take(&news.Digest)
	g.noteAnswer(id, sent)
	if g.opts.Catalog.OfferConfiguration(news.NewConfiguration) {
		g.opts.Log.Info("configuration in force", "version", news.NewConfiguration.Version, "source", news.From.Name, "routes", len(news.NewConfiguration.Routes))
		g.Kick()
	}
	if g.opts.Catalog.OfferRegister(news.NewRegister) {
		g.opts.Log.V(1).Info("register learnt", "revision", news.NewRegister.Revision, "source", news.From.Name)
	}
}

func (g *Gossip) noteAnswer(id topology.HostID, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if k := g.hosts[id]; k != nil {
		k.answered = later(k.answered, sent)
	}
}

// digest returns what the host of that address is told.
func (g *Gossip) digest(to topology.HostID) Digest {
	d := Digest{Claims: g.claims.Claims(), Offers: g.opts.Offers()}
	d.Configuration, d.Register = g.opts.Catalog.Versions()
	g.mu.Lock()
	defer g.mu.Unlock()
	d.From = g.self
	d.From.UpFor = steady.Now().Sub(g.begun)
	now := steady.Now()
	reads := g.opts.Catalog.Reads()
	d.ConfigurationRead, d.RegisterRead = now.Sub(reads.Configuration), now.Sub(reads.Register)
	for id, k := range g.hosts {
		if !k.heard.IsZero() && !k.lost {
			d.Hosts = append(d.Hosts, id)
		}
	}
	for _, c := range d.Claims {
		if k := g.hosts[c.Holder]; k != nil && !k.heard.IsZero() {
			d.Heard = append(d.Heard, Heard{Host: c.Holder, Ago: now.Sub(k.heard)})
		}
	}
	d.Sum = sumOf(&d)
	if k := g.hosts[to]; k != nil && k.sum == d.Sum {
		d.Hosts, d.Claims = nil, nil
	}
	return d
}

// sumOf tells lists of hosts and claims apart, this host included among the hosts.
func sumOf(d *Digest) uint64 {
	var sum xxhash.Digest
	hosts := append([]topology.HostID{d.From.Addr}, d.Hosts...)
	slices.Sort(hosts)
	for _, h := range hosts {
		_, _ = sum.WriteString(string(h) + "\n")
	}
	slices.SortFunc(d.Claims, func(a, b duty.Claim) int { return strings.Compare(string(a.Group), string(b.Group)) })
	for _, c := range d.Claims {
		_, _ = fmt.Fprintf(&sum, "%s %d %t\n", c.Group, c.Token, c.Released)
	}
	return sum.Sum64()
}

// take learns from another host's digest.
func (g *Gossip) take(d *Digest) {
	g.Add(d.Hosts...)
	g.hear(d)
	g.opts.Heard(d.Offers)
	g.hearOf(d.Heard)
	now := steady.Now()
	g.opts.Catalog.NoteReads(catalog.Reads{Configuration: now.Add(-d.ConfigurationRead), Register: now.Add(-d.RegisterRead)})
	for _, c := range d.Claims {
		g.claims.Learn(c)
	}
}

func (g *Gossip) hear(d *Digest) {
	h := d.From
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.Addr == g.self.Addr {
		return
	}
	k := g.hosts[h.Addr]
	if k == nil {
		k = &known{named: now}
		g.hosts[h.Addr] = k
	}
	if k.lost || k.heard.IsZero() || k.host.Boot != h.Boot {
		g.opts.Log.Info("host heard of", "host", h.Name, "addr", h.Addr, "domain", h.Domain)
	}
	k.host, k.heard, k.lost, k.offers, k.sum = h, now, false, d.Offers, d.Sum
}

// hearOf takes when others heard of the holders of duties.
func (g *Gossip) hearOf(list []Heard) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range list {
		if k := g.hosts[h.Host]; k != nil {
			k.told = later(k.told, now.Add(-h.Ago))
		}
	}
}

// Service answers other hosts' exchanges.
type Service struct{ gossip *Gossip }

// Service returns what is to be registered under ServiceName.
func (g *Gossip) Service() *Service { return &Service{gossip: g} }

// Exchange takes a digest and answers with this host's and with what the other
// lacks. What the other knows better is asked for at once.
func (s *Service) Exchange(args *Digest, reply *News) error {
	g := s.gossip
	g.take(args)
	reply.Digest = g.digest(args.From.Addr)
	if reply.Configuration > args.Configuration {
		reply.NewConfiguration = g.opts.Catalog.Configuration()
	}
	if reply.Register > args.Register {
		reply.NewRegister = g.opts.Catalog.Register()
	}
	if args.Configuration > reply.Configuration {
		g.Kick()
	}
	return nil
}
