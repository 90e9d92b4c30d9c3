package capacity

import (
	"cmp"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Dump is the state of a group that this host coordinates.
type Dump struct {
	Group   topology.GroupID  `json:"group"`
	SinceMS int64             `json:"since_ms"`
	Silent  []topology.HostID `json:"silent"` // holders that didn't answer the last poll
	Targets []TargetDump      `json:"targets"`
}

// TargetDump is the state of one target.
type TargetDump struct {
	Target      topology.TargetID       `json:"target"`
	Capacity    int                     `json:"capacity"`
	Slots       int                     `json:"slots"`
	Allocations map[topology.HostID]int `json:"allocations"`
}

// Dump returns the state of the groups that this host coordinates.
func (c *Coordinator) Dump() []Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Dump, 0, len(c.groups))
	for id, g := range c.groups {
		d := Dump{Group: id, SinceMS: time.Since(g.startsAt).Milliseconds(), Silent: []topology.HostID{}}
		for host, silent := range g.silent {
			if silent {
				d.Silent = append(d.Silent, host)
			}
		}
		slices.Sort(d.Silent)
		for target, t := range g.targets {
			d.Targets = append(d.Targets, TargetDump{Target: target, Capacity: t.Capacity(), Slots: t.slots, Allocations: t.allocations})
		}
		slices.SortFunc(d.Targets, func(a, b TargetDump) int { return cmp.Compare(a.Target, b.Target) })
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Dump) int { return cmp.Compare(a.Group, b.Group) })
	return list
}

// Coordinated returns the number of groups that this host coordinates.
func (c *Coordinator) Coordinated() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.groups)
}
