package gossip

import (
	"maps"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// reportedFleetLimit is the number of hosts up to which each one is reported often enough
// for relayedContactWindow: about 320 reports a second arrive (see heardSampleSize). In a
// larger fleet only contact with domains is known.
const reportedFleetLimit = 200

// presentWindow is how long a host counts as present after it was last seen by anyone: a
// little longer than relayedContactWindow.
const presentWindow = 3 * time.Second

// Present returns the live hosts that aren't leaving and that were seen recently, this one
// included. Unlike Sharers, it leaves out a host that restarts. Only Hosts and Version are set.
func (g *Gossip) Present() Sharers {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.present.Hosts != nil && now.Sub(g.presentBuiltAt) < listsMaxAge {
		return g.present
	}
	list := slices.Clone(g.freshLists(now).live)
	if len(g.hosts) <= reportedFleetLimit {
		list = slices.DeleteFunc(list, func(h topology.Host) bool {
			k := g.hosts[h.ID]
			return h.ID != g.self.Addr && (k == nil || now.Sub(k.lastSeen()) >= presentWindow)
		})
	}
	if !slices.Equal(list, g.present.Hosts) {
		g.present = Sharers{Hosts: list, Version: g.present.Version + 1}
	}
	g.presentBuiltAt = now
	return g.present
}

// Reach tells which part of the fleet this host is in contact with. Each failure domain
// has one vote, which its hosts share. Hosts that are in contact with each other and hosts
// that aren't never have more than all votes together, except for the time in which a loss
// of contact is noticed.
type Reach struct {
	// Domains has the part of all votes that is in contact, by domain.
	Domains map[topology.Domain]float64
	Own     topology.Domain // this host's domain
	Self    float64         // this host's own part
}

// Total returns the part of all votes that is in contact.
func (r *Reach) Total() float64 {
	total := 0.0
	for _, part := range r.Domains {
		total += part
	}
	return total
}

// Reach returns the votes that this host is in contact with. A host that has seeds and
// never had contact with any host has none until it has been up for voteTimeout: it doesn't
// know how many share its vote.
func (g *Gossip) Reach() Reach {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.hosts) > 0 && len(g.contacts) == 0 && now.Sub(g.startedAt) < voteTimeout {
		return Reach{}
	}
	hosts, reachable := g.countHosts(now)
	known := maps.Clone(hosts)
	if now.Sub(g.majorityAt) < rememberVotesFor {
		for d, n := range g.majorityCounts {
			known[d] = max(known[d], n)
		}
	}
	r := g.reach(known, reachable)
	if r.Total() > 0.5 {
		g.majorityCounts, g.majorityAt = hosts, now
		return g.reach(hosts, reachable)
	}
	return r
}

// rememberVotesFor is how long a side without most votes remembers the hosts of the other
// one: longer than most partitions last. After that, all of them are taken for dead.
const rememberVotesFor = 5 * time.Minute

// countHosts returns the known hosts and those in contact, by domain. Hosts that are silent
// for less than forgetAfter are known. The caller holds g.mu.
func (g *Gossip) countHosts(now time.Time) (hosts, reachable map[topology.Domain]int) {
	hosts, reachable = map[topology.Domain]int{g.self.Domain: 1}, map[topology.Domain]int{g.self.Domain: 1}
	if !g.anyDomainInContact(now) {
		reachable = nil
	}
	large := len(g.hosts) > largeFleetThreshold
	everyHostReported := len(g.hosts) <= reportedFleetLimit
	for _, k := range g.hosts {
		if k.lastHeard.IsZero() || k.host.Leaving {
			continue
		}
		inContact := k.contact.Connected(now)
		if large {
			recent := now.Sub(k.lastSeen()) < relayedContactWindow || !everyHostReported
			inContact = recent && g.domainReachable(k.host.Domain, (*Contact).Connected, now)
		}
		hosts[k.host.Domain]++
		if inContact && reachable != nil {
			reachable[k.host.Domain]++
		}
	}
	if reachable == nil {
		reachable = map[topology.Domain]int{g.self.Domain: 1}
	}
	return hosts, reachable
}

// anyDomainInContact reports whether any host answered within ContactWindow. A host that
// none answers is cut off from its own domain too. The caller holds g.mu.
func (g *Gossip) anyDomainInContact(now time.Time) bool {
	for _, contact := range g.contacts {
		if contact.Connected(now) {
			return true
		}
	}
	return false
}

// reach returns the votes. The caller holds g.mu.
func (g *Gossip) reach(hosts, reachable map[topology.Domain]int) Reach {
	domains := len(hosts)
	for _, d := range g.opts.Domains {
		if hosts[d] == 0 {
			domains++
		}
	}
	r := Reach{Domains: make(map[topology.Domain]float64, len(hosts)), Own: g.self.Domain}
	for d, n := range hosts {
		r.Domains[d] = float64(reachable[d]) / float64(n) / float64(domains)
	}
	r.Self = 1 / float64(hosts[g.self.Domain]) / float64(domains)
	return r
}
