package gossip

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// HeardAgo implements duty.Hosts: the time since the host was last seen, by this host or by others.
func (g *Gossip) HeardAgo(id topology.HostID) (time.Duration, bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.hosts[id]
	if k == nil || k.lastSeen().IsZero() {
		return 0, false
	}
	return now.Sub(k.lastSeen()), true
}

// Connected reports whether this host is in contact with more than half of the fleet,
// each failure domain having one vote that its hosts share. A host that isn't
// connected takes no duty.
func (g *Gossip) Connected() bool { return g.inContactWithMost((*Contact).Connected) }

// ContactAges returns the time since each failure domain was last in contact, by name.
// A domain that never was is absent.
func (g *Gossip) ContactAges() map[topology.Domain]time.Duration {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	ages := make(map[topology.Domain]time.Duration, len(g.contacts))
	for domain, contact := range g.contacts {
		ages[domain] = now.Sub(contact.last)
	}
	return ages
}

// Settled reports whether this host has been connected to more than half of the
// fleet since the time acquired, when it acquired a duty, or for longer than
// NewsDelay. A holder that isn't settled performs no step of its duty and grants no
// lease: during a network partition a host on the other side may have taken the duty,
// and news of that takes NewsDelay to arrive.
func (g *Gossip) Settled(acquired time.Time) bool {
	return g.inContactWithMost(func(c *Contact, now time.Time) bool { return c.Settled(acquired, now) })
}

// relayedContactWindow is how long a host of a large fleet counts as reachable after
// anyone saw it. It is shorter than the time after which another host takes a duty
// there (see duty.TakeoverAfter).
const relayedContactWindow = 2 * time.Second

// voteTimeout is how long a silent host keeps its share of its domain's vote: longer
// than a partition usually lasts, since it may be on the other side of one.
const voteTimeout = 30 * time.Second

// inContactWithMost reports whether most votes are reachable, as far as this host may
// judge that. In a large fleet, where few hosts are contacted in each round, the contact
// is that with any host of the domain, and each host must have been seen by someone.
func (g *Gossip) inContactWithMost(reachable func(*Contact, time.Time) bool) bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasMajority(reachable, now) && (!g.opts.HostVotes || g.seniorsAgree(now))
}

// seniorsAgree reports whether this host knows the fleet well enough to count votes: it
// has been up for voteTimeout, or a host that has been reports that it is connected, or
// no host in contact has been up for so long. A host that starts on the smaller side of
// a partition doesn't know the hosts of the other side. The caller holds g.mu.
func (g *Gossip) seniorsAgree(now time.Time) bool {
	if now.Sub(g.startedAt) >= voteTimeout {
		return true
	}
	seniors := 0
	for _, k := range g.hosts {
		if !k.contact.Connected(now) || k.host.UpFor+now.Sub(k.lastHeard) < voteTimeout {
			continue
		}
		seniors++
		if k.host.Connected {
			return true
		}
	}
	return seniors == 0
}

// hasMajority reports whether most votes are reachable. The caller holds g.mu.
func (g *Gossip) hasMajority(reachable func(*Contact, time.Time) bool, now time.Time) bool {
	large := len(g.hosts) > largeFleetThreshold
	voters := []voter{{domain: g.self.Domain, host: g.self.Addr, reachable: true}}
	for id, k := range g.hosts {
		v := voter{domain: k.host.Domain, host: id}
		switch {
		case k.lastHeard.IsZero() || k.host.Leaving || now.Sub(k.lastSeen()) > voteTimeout:
			continue
		case !g.opts.HostVotes:
			if !k.isLive(now) {
				continue
			}
			v.reachable = g.domainReachable(v.domain, reachable, now)
		case large:
			v.reachable = now.Sub(k.lastSeen()) < relayedContactWindow && g.domainReachable(v.domain, reachable, now)
		default:
			v.reachable = reachable(&k.contact, now)
		}
		voters = append(voters, v)
	}
	return isMajority(voters, g.opts.Domains)
}

// domainReachable reports whether a domain is in contact. The caller holds g.mu.
func (g *Gossip) domainReachable(d topology.Domain, reachable func(*Contact, time.Time) bool, now time.Time) bool {
	contact := g.contacts[d]
	return d == g.self.Domain || contact != nil && reachable(contact, now)
}

// voter is a host with a share of its domain's vote.
type voter struct {
	domain    topology.Domain
	host      topology.HostID
	reachable bool
}

// isMajority reports whether more than half of the votes are reachable, or one half
// that includes the first host of the first domain. Each domain has one vote, which
// its hosts share, so that no two sides of a partition have a majority, also if it
// runs through a domain. domains have a vote even without a voter.
func isMajority(voters []voter, domains []topology.Domain) bool {
	type count struct{ hosts, reachable int }
	counts := map[topology.Domain]*count{}
	for _, d := range domains {
		counts[d] = &count{}
	}
	first := voters[0]
	for _, v := range voters {
		c := counts[v.domain]
		if c == nil {
			c = &count{}
			counts[v.domain] = c
		}
		c.hosts++
		if v.reachable {
			c.reachable++
		}
		if v.domain < first.domain || v.domain == first.domain && v.host < first.host {
			first = v
		}
	}
	votes := 0.0
	for _, c := range counts {
		if c.hosts > 0 {
			votes += float64(c.reachable) / float64(c.hosts)
		}
	}
	const rounding = 1e-9
	lead := 2*votes - float64(len(counts))
	return lead > rounding || lead > -rounding && first.reachable
}

const (
	// largeFleetLive is the number of live hosts above which duties are taken later.
	largeFleetLive = 12
	// largeFleetKnown is the same where hosts share their domain's vote, but the number
	// of other hosts known, silent ones included. It is well below largeFleetThreshold,
	// so that a host which knows of some fewer than a holder that relies on
	// relayedContactWindow still waits long enough.
	largeFleetKnown = 8
)

// LargeFleet implements duty.Hosts.
func (g *Gossip) LargeFleet() bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opts.HostVotes {
		return len(g.hosts) > largeFleetKnown
	}
	live := 1
	for _, k := range g.hosts {
		if k.isLive(now) {
			live++
		}
	}
	return live > largeFleetLive
}

// Live implements duty.Hosts: the live hosts, this one included, sorted by address. A
// returned list is never modified.
func (g *Gossip) Live() []topology.Host {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.freshLists(now).live
}

// liveHosts returns the list for Live. The caller holds g.mu.
func (g *Gossip) liveHosts(now time.Time) []topology.Host {
	list := []topology.Host{{ID: g.self.Addr, Domain: g.self.Domain, State: topology.HostLive, Weight: g.self.Weight}}
	for id, k := range g.hosts {
		if k.isLive(now) {
			list = append(list, topology.Host{ID: id, Domain: k.host.Domain, State: topology.HostLive, Weight: k.host.Weight})
		}
	}
	sortHosts(list)
	return list
}

// sortHosts sorts the hosts by address.
func sortHosts(list []topology.Host) {
	slices.SortFunc(list, func(a, b topology.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
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
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.anyInContact(now):
		return g.freshLists(now).rank
	case now.Sub(g.startedAt) < firstContactWait && !slices.Contains(g.opts.Seeds, g.self.Addr):
		return math.MaxInt
	}
	return 0
}

// anyInContact reports whether any host answered within ContactWindow. The caller holds g.mu.
func (g *Gossip) anyInContact(now time.Time) bool {
	for _, k := range g.hosts {
		if k.contact.Connected(now) {
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

// listsMaxAge is how long the cached lists of hosts are used before silent hosts
// are removed from them. It is a small part of livenessTimeout, and long enough for
// the cache to serve many requests.
const listsMaxAge = 100 * time.Millisecond

const (
	// recentUpTime is how long a host must have been up not to count as recent: targets
	// keep the connections of its earlier process for that long.
	recentUpTime = share.LingerTime
	// aloneTime is how long a host that isn't a seed waits for a first digest of another
	// one until it shares the targets' connections with nobody. The others may be starting
	// later. If all of 139 hosts did that, they would want 64 connections each.
	aloneTime = 6 * time.Second
)

// unknownDomain is the failure domain of a sharer that was reported without one.
const unknownDomain topology.Domain = "?"

// Sharers is the list of hosts that share the connections to the targets, with
// their failure domains. A returned list is never modified.
type Sharers struct {
	Hosts   []topology.Host
	Version uint64 // increases whenever the list changes
	// ChangedAt is when the list last changed, other than by a failure domain that became
	// known.
	ChangedAt time.Time
	Recent    int // hosts of the list that aren't known to have been up for recentUpTime
	// JoinedFor is the time since this host first heard from another one, or since its
	// start if it is a seed. It is negative while the host waits for that.
	JoinedFor time.Duration
}

// Sharers returns the live hosts that aren't leaving, this one included, and those that
// others have reported and from which this host hasn't heard yet. In a large fleet hosts
// hear from each other in the course of half a minute, and must agree on the list earlier.
func (g *Gossip) Sharers() Sharers {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.freshLists(now).sharers
}

// hostLists are lists of the hosts that are rebuilt together.
type hostLists struct {
	live    []topology.Host // see Live
	rank    int             // of this host in live, see rankOf
	sharers Sharers
}

// freshLists returns the lists. It rebuilds them if they are older than listsMaxAge. The
// caller holds g.mu.
func (g *Gossip) freshLists(now time.Time) *hostLists {
	if g.lists.live == nil || now.Sub(g.listsBuiltAt) >= listsMaxAge {
		g.rebuildLists(now)
	}
	return &g.lists
}

// rebuildLists rebuilds the lists. The caller holds g.mu.
func (g *Gossip) rebuildLists(now time.Time) {
	live := g.liveHosts(now)
	if !slices.Equal(live, g.lists.live) {
		g.lists.live, g.lists.rank = live, rankOf(g.self.Addr, live)
	}
	g.listsBuiltAt = now
	g.rebuildSharers(slices.Clip(live), now)
}

// rebuildSharers rebuilds the list of sharers from that of the live hosts. The caller holds
// g.mu.
func (g *Gossip) rebuildSharers(list []topology.Host, now time.Time) {
	live := len(list)
	joinedFor, recent := g.joinedFor(now), 0
	if joinedFor < recentUpTime {
		recent++
	}
	for id, k := range g.hosts {
		switch {
		case k.isLive(now):
			if k.host.UpFor+now.Sub(k.lastHeard) < recentUpTime {
				recent++
			}
		case k.isReported(now):
			recent++
			place := k.place()
			list = append(list, topology.Host{ID: id, Domain: cmp.Or(place.Domain, unknownDomain), State: topology.HostLive, Weight: place.Weight})
		}
	}
	if len(list) > live {
		sortHosts(list)
	}
	if !slices.Equal(list, g.lists.sharers.Hosts) {
		if !slices.EqualFunc(list, g.lists.sharers.Hosts, func(x, y topology.Host) bool { return x.ID == y.ID }) {
			g.lists.sharers.ChangedAt = now
		}
		g.lists.sharers.Hosts = list
		g.lists.sharers.Version++
	}
	g.lists.sharers.Recent, g.lists.sharers.JoinedFor = recent, joinedFor
}

// joinedFor returns Sharers.JoinedFor. The caller holds g.mu.
func (g *Gossip) joinedFor(now time.Time) time.Duration {
	switch {
	case slices.Contains(g.opts.Seeds, g.self.Addr):
		return now.Sub(g.startedAt)
	case g.firstHeardAt.IsZero():
		return now.Sub(g.startedAt) - aloneTime
	}
	return now.Sub(g.firstHeardAt)
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
	now := g.now()
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
	now := g.now()
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
