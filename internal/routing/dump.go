package routing

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Dump is the routing state of this host.
type Dump struct {
	Reads  ReadCounts                          `json:"reads"`
	Groups map[topology.GroupID]GroupViewState `json:"groups"`
}

// GroupViewState is what this host knows about one group.
type GroupViewState struct {
	Term    uint64            `json:"term"`
	Primary topology.TargetID `json:"primary"`
	Targets []TargetState     `json:"targets"`
}

// TargetState is what this host knows about one target.
type TargetState struct {
	ID      topology.TargetID `json:"id"`
	Holders []topology.HostID `json:"holders"`
	Known   bool              `json:"known"`
	Down    bool              `json:"down"`
	Applied topology.Position `json:"applied"`
	LagMS   int64             `json:"lag_ms"`      // upper bound on the data's age in the latest status
	SeenMS  int64             `json:"seen_ms_ago"` // since Applied was first observed, or last rejected as behind a floor or too stale
}

// Dump returns the result of State for the operators' interface.
func (r *PlainRouter) Dump() any { return r.State() }

// State returns what this host knows about the groups that its callers have
// used.
func (r *PlainRouter) State() Dump {
	d := Dump{Reads: r.stats.readCounts(), Groups: make(map[topology.GroupID]GroupViewState)}
	for _, g := range r.knownGroups() {
		d.Groups[g.id] = dumpView(r.view(g))
	}
	return d
}

func (r *PlainRouter) knownGroups() []*group {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := make([]*group, 0, len(r.groups))
	for _, g := range r.groups {
		groups = append(groups, g)
	}
	return groups
}

func dumpView(v GroupView) GroupViewState {
	s := GroupViewState{Term: v.Term, Primary: v.Primary}
	for _, c := range v.Candidates {
		s.Targets = append(s.Targets, dumpCandidate(c))
	}
	return s
}

func dumpCandidate(c Candidate) TargetState {
	t := TargetState{
		ID:      c.Target.ID,
		Known:   c.StatusKnown,
		Down:    c.RecentlyFailed,
		Applied: c.Applied,
		LagMS:   int64(c.LagUpperBound / time.Millisecond),
	}
	if c.StatusKnown {
		t.SeenMS = int64(c.StatusAge / time.Millisecond)
	}
	for _, h := range c.Holders {
		t.Holders = append(t.Holders, h.Host)
	}
	return t
}
