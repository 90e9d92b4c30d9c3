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
