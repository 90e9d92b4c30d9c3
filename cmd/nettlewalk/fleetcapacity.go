package main

import (
	"context"
	"slices"

	"nettlewalk.example/nettlewalk/internal/capacity"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// createCapacity creates the coordinator of the capacity that holders of targets share.
func (h *fleetHost) createCapacity(ctx context.Context) {
	h.capacity = capacity.NewCoordinator(ctx, capacity.Options{
		Self: topology.HostID(h.settings.PeerAddr), Peers: h.peers,
		Enabled: h.sharesCapacity, Holders: h.capacityHolders,
		Targets: func(id topology.GroupID) []capacity.HeldTarget {
			if g := h.groups.Group(id); g != nil {
				return g.HeldTargets()
			}
			return nil
		},
		Log: h.log.WithName("capacity"),
	})
}

// sharesCapacity reports whether the capacity of targets is shared between their holders.
func (h *fleetHost) sharesCapacity() bool {
	return h.options.sharedCapacity.Enabled(hasCustomers(h.catalog.Configuration()))
}

// capacityHolders returns the hosts that hold connections to a group's targets.
func (h *fleetHost) capacityHolders(id topology.GroupID) []topology.HostID {
	c := h.catalog.Configuration()
	if c == nil {
		return nil
	}
	return h.holderIDs(id, c, h.gossip.Sharers())
}

// sharedHolders returns how many hosts share the capacity of a group's targets, 0 if it
// isn't shared or this host isn't one of them.
func (h *fleetHost) sharedHolders(id topology.GroupID) int {
	if !h.sharesCapacity() {
		return 0
	}
	holders := h.connectionHolders(id)
	if holders == nil { // all hosts
		return len(h.gossip.Sharers().Hosts)
	}
	if !slices.ContainsFunc(holders, h.isSelf) {
		return 0
	}
	return len(holders)
}
