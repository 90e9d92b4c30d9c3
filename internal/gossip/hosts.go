package gossip

import (
	"math"
	"slices"
	"strings"
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// HeardAgo implements duty.Hosts: the time since the host was last seen, by this host or by others.
func (g *Gossip) HeardAgo(id topology.HostID) (time.Duration, bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.hosts[id]
	if k == nil || k.lastSeen().IsZero() {
		return 0, false
	}
	return now.Sub(k.lastSeen()), true
}

// Connected reports whether hosts in more than half of the failure domains have
// answered within ContactWindow; this host's own domain always counts. A host that
// isn't connected takes no duty.
func (g *Gossip) Connected() bool { return g.inContactWithMost((*Contact).Connected) }

// Settled reports whether this host has been connected to more than half of the
// failure domains since the time acquired, when it acquired a duty, or for longer than
// NewsDelay. A holder that isn't settled performs no step of its duty and grants no
// lease: during a network partition a host on the other side may have taken the duty,
// and news of that takes NewsDelay to arrive.
func (g *Gossip) Settled(acquired time.Time) bool {
	return g.inContactWithMost(func(c *Contact, now time.Time) bool { return c.Settled(acquired, now) })
}

func (g *Gossip) inContactWithMost(reachable func(*Contact, time.Time) bool) bool {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	domains := map[topology.Domain]bool{g.self.Domain: true}
	for _, d := range g.opts.Domains {
		domains[d] = domains[d] || false
	}
	for _, k := range g.hosts {
		if k.isLive(now) {
			domains[k.host.Domain] = domains[k.host.Domain] || false
		}
	}
	for d := range domains {
		contact := g.contacts[d]
		domains[d] = d == g.self.Domain || contact != nil && reachable(contact, now)
	}
	return isMajority(domains)
}

// isMajority reports whether more than half of the domains are reachable, or one half
// that includes the first by name. The other side of a partition then has neither.
func isMajority(reachable map[topology.Domain]bool) bool {
	n, first := 0, topology.Domain("")
	for d, ok := range reachable {
		if ok {
			n++
		}
		if first == "" || d < first {
			first = d
		}
	}
	return 2*n > len(reachable) || 2*n == len(reachable) && reachable[first]
}

// Live implements duty.Hosts: the live hosts, this one included, sorted by address.
func (g *Gossip) Live() []topology.Host {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.liveHosts(now)
}

// liveHosts returns the list for Live. The caller holds g.mu.
func (g *Gossip) liveHosts(now time.Time) []topology.Host {
	list := []topology.Host{{ID: g.self.Addr, Domain: g.self.Domain, State: topology.HostLive}}
	for id, k := range g.hosts {
		if k.isLive(now) {
			list = append(list, topology.Host{ID: id, Domain: k.host.Domain, State: topology.HostLive})
		}
	}
	slices.SortFunc(list, func(a, b topology.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// AnyHostUpFor reports whether this host may take its share of the targets'
// connections, which is once it or any other host has been up for upFor. If all
// hosts restart at once, the first one doesn't know the others yet. Without the
// wait it would take every connection that their previous processes don't still
// hold.
func (g *Gossip) AnyHostUpFor(upFor time.Duration) bool {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.startedAt) >= upFor {
		return true
	}
	for _, k := range g.hosts {
		if !k.lastHeard.IsZero() && k.host.UpFor+now.Sub(k.lastHeard) >= upFor {
			return true
		}
	}
	return false
}

// firstContactWait is how long a starting host waits for an answer from another
// host before it acts as if it were alone: time for several connection attempts.
const firstContactWait = 400 * time.Millisecond

// Rank returns this host's rank among the live hosts, 0 being the first. Work
// that a few hosts do for all goes to the lowest ranks, which are in different
// failure domains. A host without contact to any other ranks first. A host that
// isn't a seed does so only after firstContactWait: until then a seed, which the
// other hosts contact, may still answer it.
func (g *Gossip) Rank() int {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	live := g.liveHosts(now)
	switch {
	case g.anyInContact(now):
		return rankOf(g.self.Addr, live)
	case now.Sub(g.startedAt) < firstContactWait && !slices.Contains(g.opts.Seeds, g.self.Addr):
		return math.MaxInt
	}
	return 0
}

// anyInContact reports whether any host answered within ContactWindow. The caller holds g.mu.
func (g *Gossip) anyInContact(now time.Time) bool {
	for _, k := range g.hosts {
		if now.Sub(k.lastAnswered) < ContactWindow {
			return true
		}
	}
	return false
}

// rankOf returns the rank of self among the hosts, which are sorted by address.
// Hosts rank by their index within their failure domain, then by address.
func rankOf(self topology.HostID, hosts []topology.Host) int {
	indexInDomain := make([]int, len(hosts))
	hostsInDomain, ownIndex := map[topology.Domain]int{}, 0
	for i, h := range hosts {
		indexInDomain[i] = hostsInDomain[h.Domain]
		hostsInDomain[h.Domain]++
		if h.ID == self {
			ownIndex = indexInDomain[i]
		}
	}
	rank := 0
	for i, h := range hosts {
		if indexInDomain[i] < ownIndex || indexInDomain[i] == ownIndex && h.ID < self {
			rank++
		}
	}
	return rank
}

// sharersMaxAge is how long the cached list of sharers is used before silent hosts
// are removed from it. It is a small part of livenessTimeout, and long enough for
// the cache to serve many requests.
const sharersMaxAge = 100 * time.Millisecond

// Sharers is the list of hosts that share the connections to the targets, with
// their failure domains. A returned list is never modified.
type Sharers struct {
	Hosts   []topology.Host
	Version uint64 // increases whenever the list changes
}

// Sharers returns the live hosts that aren't leaving, this one included.
func (g *Gossip) Sharers() Sharers {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sharers.Hosts == nil || now.Sub(g.sharersBuiltAt) >= sharersMaxAge {
		g.refreshSharers(now)
	}
	return g.sharers
}

// refreshSharers rebuilds the cached list. The caller holds g.mu.
func (g *Gossip) refreshSharers(now time.Time) {
	list := g.liveHosts(now)
	if !slices.Equal(list, g.sharers.Hosts) {
		g.sharers = Sharers{Hosts: list, Version: g.sharers.Version + 1}
	}
	g.sharersBuiltAt = now
}

// Hosts returns the announced state of every other known host.
func (g *Gossip) Hosts() []Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Host, 0, len(g.hosts))
	for _, k := range g.hosts {
		list = append(list, k.host)
	}
	return list
}

// offersMaxAge is how long another host's offers are used after they arrived: four rounds.
const offersMaxAge = 1200 * time.Millisecond

// HostOffer is the offer of one host for one group.
type HostOffer struct {
	Host       topology.HostID
	Domain     topology.Domain
	ReceivedAt time.Time // when the offer arrived
	Offer
}

// Offers returns the fresh offers of other hosts for a group. Offers of leaving
// hosts and offers without open connections are left out.
func (g *Gossip) Offers(id topology.GroupID) []HostOffer {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var offers []HostOffer
	for host, k := range g.hosts {
		if !k.hasFreshOffers(now) {
			continue
		}
		for _, o := range k.offers {
			if o.Group == id && o.Open > 0 {
				offers = append(offers, HostOffer{Host: host, Domain: k.host.Domain, ReceivedAt: k.lastHeard, Offer: o})
			}
		}
	}
	return offers
}

// HasUsablePeer reports whether any other host that isn't leaving was heard from
// within offersMaxAge, so that it may run statements for this host.
func (g *Gossip) HasUsablePeer() bool {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.hosts {
		if k.hasFreshOffers(now) {
			return true
		}
	}
	return false
}

// hasFreshOffers reports whether the host's offers may still be used.
func (k *knownHost) hasFreshOffers(now time.Time) bool {
	return !k.lastHeard.IsZero() && now.Sub(k.lastHeard) < offersMaxAge && !k.host.Leaving
}
