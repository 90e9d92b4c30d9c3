package gossip

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Reach tells which part of the fleet this host is in contact with. Each failure domain
// has one vote, which its hosts share. Hosts that are in contact with each other and hosts
// that aren't never have more than all votes together, except for the time in which a loss
// of contact is noticed.
type Reach struct {
	Fleet  float64 // votes in contact, of all
	Domain float64 // the part of that in this host's own domain
	Self   float64 // this host's own part
}

// Reach returns the votes that this host is in contact with. A host that has seeds and
// never had contact with any host has none: it doesn't know how many share its vote.
func (g *Gossip) Reach() Reach {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.hosts) > 0 && len(g.contacts) == 0 {
		return Reach{}
	}
	all := g.reach(now, true)
	if all.Fleet > 0.5 { // hosts that are silent for long are most likely gone
		return g.reach(now, false)
	}
	return all
}

// reach counts the votes; withSilent includes hosts that have been silent for longer than
// voteTimeout. The caller holds g.mu.
func (g *Gossip) reach(now time.Time, withSilent bool) Reach {
	type count struct{ hosts, reachable int }
	counts := map[topology.Domain]*count{}
	for _, d := range g.opts.Domains {
		counts[d] = &count{}
	}
	add := func(d topology.Domain, reachable bool) {
		c := counts[d]
		if c == nil {
			c = &count{}
			counts[d] = c
		}
		c.hosts++
		if reachable {
			c.reachable++
		}
	}
	add(g.self.Domain, true)
	large := len(g.hosts) > largeFleetThreshold
	for _, k := range g.hosts {
		silence := now.Sub(k.lastSeen())
		if k.lastHeard.IsZero() || k.host.Leaving || silence > voteTimeout && !withSilent {
			continue
		}
		reachable := k.contact.Connected(now)
		if large {
			reachable = silence < relayedContactWindow && g.domainReachable(k.host.Domain, (*Contact).Connected, now)
		}
		add(k.host.Domain, reachable)
	}
	var r Reach
	for d, c := range counts {
		if c.hosts == 0 {
			continue
		}
		part := float64(c.reachable) / float64(c.hosts) / float64(len(counts))
		r.Fleet += part
		if d == g.self.Domain {
			r.Domain, r.Self = part, 1/float64(c.hosts)/float64(len(counts))
		}
	}
	return r
}
