package group

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// LeaderDomain returns the failure domain of the target that leads, or led last as far
// as this host knows. It returns "" if none is known.
func (g *Group) LeaderDomain() topology.Domain {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := g.view.leader
	if id == "" {
		id = g.view.lastLeader
	}
	return g.domainOf(id)
}

// DomainOf returns the failure domain of a target, "" if it isn't known.
func (g *Group) DomainOf(id topology.TargetID) topology.Domain {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.domainOf(id)
}

func (g *Group) domainOf(id topology.TargetID) topology.Domain {
	if m := g.members[id]; m != nil {
		return m.info.Target.Domain
	}
	return ""
}

// Domains returns the failure domains of the targets that aren't leaving, in no
// particular order.
func (g *Group) Domains() []topology.Domain {
	g.mu.Lock()
	defer g.mu.Unlock()
	domains := make([]topology.Domain, 0, len(g.members))
	for _, m := range g.members {
		if d := m.info.Target.Domain; !m.info.Target.Leaving && !slices.Contains(domains, d) {
			domains = append(domains, d)
		}
	}
	return domains
}

// Connections returns how many connections to the group's targets are open, and how
// many of them are free, less the requests that wait for one.
func (g *Group) Connections() (open, free int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		load := m.pool.Load()
		open, free = open+load.Open, free+load.Idle-load.Waiting
	}
	return open, free
}
