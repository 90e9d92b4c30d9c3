package main

import (
	"nettlewalk.example/nettlewalk/internal/failover"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// joinFailover joins confirmation of commits and changes of primary.
func (h *host) joinFailover() {
	h.failover = failover.New(failover.Options{
		Self:      h.settings.Host.ID,
		Directory: h.directory,
		Caller:    h.peers,
		Group:     h.store.Group,
		Peers:     h.holdersOf,
		Publisher: h.platform,
		Dial:      h.dial,
		Log:       h.log.WithName("failover"),
	})
}

// holdersOf returns the hosts that hold a slot of the group's targets, each once.
func (h *host) holdersOf(g *topology.Group) []topology.HostID {
	seen := map[topology.HostID]bool{}
	var hosts []topology.HostID
	for _, t := range g.Targets {
		for _, id := range h.fleet.Holders(t) {
			if !seen[id] {
				seen[id] = true
				hosts = append(hosts, id)
			}
		}
	}
	return hosts
}
