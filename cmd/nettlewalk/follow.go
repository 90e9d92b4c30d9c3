package main

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const listInterval = time.Second // a dead host's slots wait for it once the list lacks the host

// followHosts gives the platform's host list to the fleet, at each change and at
// intervals: what follows from a list depends on the time too.
func (h *host) followHosts(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		changed := h.store.Changed()
		h.fleet.Apply(h.store.Hosts())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// followSlots takes and drops slots as hosts and groups change.
func (h *host) followSlots(ctx context.Context) {
	for {
		groups, hosts := h.store.Changed(), h.fleet.Changed()
		h.takeSlots()
		select {
		case <-ctx.Done():
			return
		case <-groups:
		case <-hosts:
		}
	}
}

func (h *host) takeSlots() {
	held := h.fleet.HeldBy(h.settings.Host.ID, h.targets())
	h.pool.Hold(poolSlots(held))
	h.keeper.Retain(held)
	h.failover.Watch(groupsOf(held))
}

func (h *host) targets() []topology.Target {
	var targets []topology.Target
	for _, g := range h.store.Groups() {
		targets = append(targets, g.Targets...)
	}
	return targets
}

func poolSlots(held []fleet.Held) []pool.Held {
	slots := make([]pool.Held, len(held))
	for i, s := range held {
		slots[i] = pool.Held{Target: s.Target, Slot: s.Slot}
	}
	return slots
}

// groupsOf returns the groups of the slots, each once.
func groupsOf(held []fleet.Held) []topology.GroupID {
	seen := map[topology.GroupID]bool{}
	var groups []topology.GroupID
	for _, s := range held {
		if !seen[s.Target.Group] {
			seen[s.Target.Group] = true
			groups = append(groups, s.Target.Group)
		}
	}
	return groups
}
