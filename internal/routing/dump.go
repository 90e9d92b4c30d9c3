package routing

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Dump is the state of routing at this host.
type Dump struct {
	Reads  ReadCounts                          `json:"reads"`
	Groups map[topology.GroupID]GroupViewState `json:"groups"`
}

// GroupViewState is what this host knows of one group.
type GroupViewState struct {
	Term    uint64            `json:"term"`
	Primary topology.TargetID `json:"primary"`
	Targets []TargetState     `json:"targets"`
}

// TargetState is what this host knows of one target.
type TargetState struct {
	ID      topology.TargetID `json:"id"`
	Holders []topology.HostID `json:"holders"`
	Known   bool              `json:"known"`
	Down    bool              `json:"down"`
	Applied topology.Position `json:"applied"`
	LagMS   int64             `json:"lag_ms"`
	SeenMS  int64             `json:"seen_ms_ago"`
}

// Dump returns the state for operators, a Dump.
func (r *PlainRouter) Dump() any { return r.State() }

// State returns what this host knows of the groups that its callers used.
func (r *PlainRouter) State() Dump {
	d := Dump{Reads: r.stats.reads(), Groups: make(map[topology.GroupID]GroupViewState)}
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
		Known:   c.Known,
		Down:    c.Down,
		Applied: c.Applied,
		LagMS:   int64(c.Lag / time.Millisecond),
	}
	if c.Known {
		t.SeenMS = int64(c.SeenAgo / time.Millisecond)
	}
	for _, h := range c.Holders {
		t.Holders = append(t.Holders, h.Host)
	}
	return t
}
