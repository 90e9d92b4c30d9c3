package main

import (
	"context"
	"slices"

	"nettlewalk.example/nettlewalk/internal/capacity"
	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// serveOptions are the flags of the serve command that concern a host on the users'
// platform.
type serveOptions struct {
	prices         locality.Prices
	sharedCapacity switchMode
}

// switchMode is the value of a flag that enables a part of the proxy.
type switchMode string

const (
	switchOn   switchMode = "on"
	switchOff  switchMode = "off"
	switchAuto switchMode = "auto" // on where the configuration has customers
)

// validate returns an error if the value isn't one of the three. flag is the name of the
// flag.
func (m switchMode) validate(flag string) error {
	switch m {
	case switchOn, switchOff, switchAuto:
		return nil
	}
	return &usageError{flag + ": must be on, off or auto"}
}

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
	switch h.options.sharedCapacity {
	case switchOn:
		return true
	case switchOff:
		return false
	}
	return hasCustomers(h.catalog.Configuration())
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
