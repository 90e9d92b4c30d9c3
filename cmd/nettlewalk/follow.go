package main

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// hostListInterval is the interval at which the host list is applied again. It
// delays the reassignment of a dead host's slots after the list drops the host.
const hostListInterval = time.Second

// applyHostList passes the platform's host list to the fleet tracker, after each
// change and at intervals, since the outcome also depends on elapsed time.
func (h *host) applyHostList(ctx context.Context) {
	ticker := time.NewTicker(hostListInterval)
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

// followSlotAssignment acquires and drops slots when hosts or groups change.
func (h *host) followSlotAssignment(ctx context.Context) {
	for {
		groups, hosts := h.store.Changed(), h.fleet.Changed()
		h.updateHeldSlots()
		select {
		case <-ctx.Done():
			return
		case <-groups:
		case <-hosts:
		}
	}
}

func (h *host) updateHeldSlots() {
	held := h.fleet.HeldBy(h.settings.Host.ID, h.targets())
	h.pool.SetHeldSlots(poolSlots(held))
	h.floorKeeper.Retain(held)
	h.failover.Watch(distinctGroups(held))
}

func (h *host) targets() []topology.Target {
	var targets []topology.Target
	for _, g := range h.store.Groups() {
		targets = append(targets, g.Targets...)
	}
	return targets
}

func poolSlots(held []fleet.HeldSlot) []pool.HeldSlot {
	slots := make([]pool.HeldSlot, len(held))
	for i, s := range held {
		slots[i] = pool.HeldSlot{Target: s.Target, Slot: s.Slot}
	}
	return slots
}

// distinctGroups returns the distinct groups of the slots.
func distinctGroups(held []fleet.HeldSlot) []topology.GroupID {
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
