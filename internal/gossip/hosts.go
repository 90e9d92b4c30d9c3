package gossip

import (
	"math"
	"slices"
	"strings"
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// HeardAgo implements duty.Hosts.
func (g *Gossip) HeardAgo(id topology.HostID) (time.Duration, bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.hosts[id]
	if k == nil || k.last().IsZero() {
		return 0, false
	}
	return now.Sub(k.last()), true
}

// Connected tells whether hosts in more than half of the failure domains have
// answered within ContactFor. A host that isn't connected gives no orders, and
// takes no duty: those on the other side of a cut may have taken it.
func (g *Gossip) Connected() bool {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	domains := map[topology.Domain]bool{g.self.Domain: true}
	for _, k := range g.hosts {
		if !k.live(now) {
			continue
		}
		near := now.Sub(k.answered) < ContactFor
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
func (g *Gossip) Live() []topology.Host {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listLive(now)
}

// listLive needs g.mu.
func (g *Gossip) listLive(now time.Time) []topology.Host {
	list := []topology.Host{{ID: g.self.Addr, Domain: g.self.Domain, State: topology.HostLive}}
	for id, k := range g.hosts {
		if k.live(now) {
			list = append(list, topology.Host{ID: id, Domain: k.host.Domain, State: topology.HostLive})
		}
	}
	slices.SortFunc(list, func(a, b topology.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
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

// helloFor is how long a host that starts waits for an answer of another one
// before it acts as if there were none: some tries to connect.
const helloFor = 400 * time.Millisecond

// Rank returns this host's place among the live hosts for what a few of them do
// for all: 0 first. The first ones are of different failure domains. A host that is in
// contact with none is the first, but not just after its start: then only the
// seeds are, which the others ask.
func (g *Gossip) Rank() int {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	live := g.listLive(now)
	switch {
	case g.inContact(now):
		return rankOf(g.self.Addr, live)
	case now.Sub(g.begun) < helloFor && !slices.Contains(g.opts.Seeds, g.self.Addr):
		return math.MaxInt
	}
	return 0
}

// inContact needs g.mu.
func (g *Gossip) inContact(now time.Time) bool {
	for _, k := range g.hosts {
		if now.Sub(k.answered) < ContactFor {
			return true
		}
	}
	return false
}

// rankOf orders hosts, which are sorted by address, by their place within their
// failure domain and then by address.
func rankOf(self topology.HostID, hosts []topology.Host) int {
	places := make([]int, len(hosts))
	within, own := map[topology.Domain]int{}, 0
	for i, h := range hosts {
		places[i] = within[h.Domain]
		within[h.Domain]++
		if h.ID == self {
			own = places[i]
		}
	}
	rank := 0
	for i, h := range hosts {
		if places[i] < own || places[i] == own && h.ID < self {
			rank++
		}
	}
	return rank
}

// sharersFor is how long the list of sharers is kept before silent hosts are
// looked for again: a small part of liveFor, and many requests long.
const sharersFor = 100 * time.Millisecond

// Sharers are the hosts that share the targets' connections, with their failure
// domains. The list isn't changed once it was returned.
type Sharers struct {
	Hosts   []topology.Host
	Version uint64 // another one for another list
}

// Sharers returns the hosts heard of lately that don't leave, this one included.
func (g *Gossip) Sharers() Sharers {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sharers.Hosts == nil || now.Sub(g.sharersAt) >= sharersFor {
		g.renewSharers(now)
	}
	return g.sharers
}

// renewSharers needs g.mu.
func (g *Gossip) renewSharers(now time.Time) {
	list := g.listLive(now)
	if !slices.Equal(list, g.sharers.Hosts) {
		g.sharers = Sharers{Hosts: list, Version: g.sharers.Version + 1}
	}
	g.sharersAt = now
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

// Offered is what a host offers of one group.
type Offered struct {
	Host   topology.HostID
	Domain topology.Domain
	At     time.Time // when it was heard of
	Offer
}

// Offers returns what other hosts offered lately of a group. Hosts that leave
// offer nothing.
func (g *Gossip) Offers(id topology.GroupID) []Offered {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var offers []Offered
	for host, k := range g.hosts {
		if !k.offersAt(now) {
			continue
		}
		for _, o := range k.offers {
			if o.Group == id && o.Open > 0 {
				offers = append(offers, Offered{Host: host, Domain: k.host.Domain, At: k.heard, Offer: o})
			}
		}
	}
	return offers
}

// Reachable tells whether another host was heard of lately that doesn't leave
// and may run statements for this one.
func (g *Gossip) Reachable() bool {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.hosts {
		if k.offersAt(now) {
			return true
		}
	}
	return false
}

// offersAt tells whether the host's offers are to be used.
func (k *known) offersAt(now time.Time) bool {
	return !k.heard.IsZero() && now.Sub(k.heard) < offersFor && !k.host.Leaving
}
