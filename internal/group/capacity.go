package group

import (
	"fmt"

	"nettlewalk.example/nettlewalk/internal/capacity"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// sharing tells between how many holders a target's capacity is shared, 0: it isn't.
type sharing struct{ holders, slots int }

// setSharing makes the pools share the capacity of their targets with those of other
// holders, or not if holders is 0.
func (g *Group) setSharing(holders int, onWaiting func(topology.GroupID)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		s := sharing{holders, m.info.WorkSlots}
		if holders == 0 {
			s = sharing{}
		}
		if s == m.sharing {
			continue
		}
		m.sharing = s
		if holders == 0 {
			m.pool.SetSharing(nil)
			continue
		}
		m.pool.SetSharing(&share.Sharing{Slots: s.slots, Holders: holders, OnWaiting: func() { onWaiting(g.opts.ID) }})
	}
}

// HeldTargets returns the targets with this host's pools.
func (g *Group) HeldTargets() []capacity.HeldTarget {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := make([]capacity.HeldTarget, 0, len(g.members))
	for id, m := range g.members {
		held = append(held, capacity.HeldTarget{ID: id, Identity: fmt.Sprint(m.info.Target.Addr, " ", m.info.Incarnation), Slots: m.info.WorkSlots, Pool: m.pool})
	}
	return held
}
