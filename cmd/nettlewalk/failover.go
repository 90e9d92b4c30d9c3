package main

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/failover"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func (h *host) initFailover() {
	h.failover = failover.New(failover.Options{
		Self:      h.settings.Host.ID,
		Directory: h.directory,
		Caller:    h.peers,
		Group:     h.store.Group,
		Peers:     h.failoverPeers,
		Policy:    h.store.AckMode,
		Publisher: h.platform,
		Dial:      h.dial,
		Log:       h.log.WithName("failover"),
	})
}

// failoverPeers returns the hosts that hold a slot of any of the group's targets.
func (h *host) failoverPeers(g *topology.Group) []topology.HostID {
	var hosts []topology.HostID
	for _, t := range g.Targets {
		hosts = append(hosts, h.fleet.Holders(t)...)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
