package gossip

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func (g *Gossip) exchange(ctx context.Context, id topology.HostID) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	digest := g.digest(id)
	digest.forgetAges()
	var news News
	sent := steady.Now()
	if err := g.opts.Caller.Call(ctx, id, exchangeMethod, &digest, &news); err != nil {
		g.opts.Log.V(1).Info("no answer from a host", "addr", id, "error", err.Error())
		return
	}
	g.take(&news.Digest)
	g.takeAges(&news.Digest, sent)
	g.noteAnswer(id, sent)
	if g.opts.Catalog.OfferConfiguration(news.NewConfiguration) {
		g.opts.Log.Info("configuration in force", "version", news.NewConfiguration.Version, "source", news.From.Name, "routes", len(news.NewConfiguration.Routes))
		g.Kick()
	}
	if g.opts.Catalog.OfferRegister(news.NewRegister) {
		g.opts.Log.Info("register learnt", "revision", news.NewRegister.Revision, "source", news.From.Name)
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
	d.Heard = g.heardOf(d.Claims, now)
	d.Sum = sumOf(&d)
	if k := g.hosts[to]; k != nil && k.sum == d.Sum {
		d.Hosts, d.Claims = nil, nil
	}
	return d
}

// heardOf tells of the holders of duties, and in a large fleet of some other
// hosts, drawn at random. It needs g.mu.
func (g *Gossip) heardOf(claims []duty.Claim, now time.Time) []Heard {
	var list []Heard
	tell := func(id topology.HostID) {
		k := g.hosts[id]
		if k == nil || k.last().IsZero() {
			return
		}
		if ago := (now.Sub(k.last()) + heardUnit - 1) / heardUnit; ago < heardMost {
			list = append(list, Heard{Host: keyOf(id), Ago: uint16(ago)})
		}
	}
	for _, c := range claims {
		tell(c.Holder)
	}
	if len(g.hosts) <= largeFleet {
		return list // each round asks most of them
	}
	drawn := 0
	for id := range g.hosts { // in a new order each time
		if drawn++; drawn > sample {
			break
		}
		tell(id)
	}
	return list
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
	for _, c := range d.Claims {
		g.claims.Learn(c)
	}
}

// takeAges learns from the ages of an answer to a request sent at a time: what
// it tells of was so long before that time or earlier. The ages of a request
// aren't used. How long it was under way isn't known, and what is passed on
// from host to host would get younger by that each time.
func (g *Gossip) takeAges(d *Digest, sent time.Time) {
	g.opts.Heard(d.Offers, sent)
	g.hearOf(d.Heard, sent)
	g.opts.Catalog.NoteReads(catalog.Reads{Configuration: sent.Add(-d.ConfigurationRead), Register: sent.Add(-d.RegisterRead)})
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
		k = g.name(h.Addr, now)
	}
	if k.lost || k.heard.IsZero() || k.host.Boot != h.Boot {
		g.opts.Log.Info("host heard of", "peer", h.Name, "addr", h.Addr, "domain", h.Domain)
		g.sharersAt = time.Time{}
	}
	if k.host.Leaving != h.Leaving {
		g.sharersAt = time.Time{}
	}
	k.host, k.heard, k.lost, k.offers, k.sum = h, now, false, d.Offers, d.Sum
}

// hearOf takes when others heard of hosts.
func (g *Gossip) hearOf(list []Heard, at time.Time) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range list {
		if k := g.hosts[g.byKey[h.Host]]; k != nil {
			k.told = later(k.told, at.Add(-time.Duration(h.Ago)*heardUnit))
			k.lost = k.lost && now.Sub(k.told) > liveFor
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
	if args.Configuration > reply.Configuration || args.Register > reply.Register {
		g.ask(args.From.Addr)
	}
	return nil
}
