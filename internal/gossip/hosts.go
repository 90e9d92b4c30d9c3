package gossip

import (
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
// answered within contactFor. A host that isn't connected gives no orders, and
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
		if k.live(now) {
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
		if id < g.self.Addr && k.live(now) {
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
		if k.live(now) {
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
