package group

import (
	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// MemberDump is the state of one target as seen by this host.
type MemberDump struct {
	Target      catalog.Member `json:"target"`
	Leads       bool           `json:"leads"`
	Unreachable bool           `json:"lost"`
	Ended       bool           `json:"ended"` // it gets no new statements since it leaves
	Lagging     bool           `json:"lagging"`
	LatencyMS   float64        `json:"took_ms"`
	Load        share.Load     `json:"load"`
	Limit       int            `json:"limit,omitempty"` // on statements in flight; 0: none
	// Customers lists connections by customer, the most connections first, and is
	// absent if connections don't belong to customers.
	Customers []share.CustomerDump `json:"customers,omitempty"`
	// Shared is absent if the target's capacity isn't shared between its holders.
	Shared *share.SharedDump `json:"shared,omitempty"`
	// Recovery is absent if slow start and outlier ejection aren't in force.
	Recovery *RecoveryDump `json:"recovery,omitempty"`
}

// Dump is the state of a group as seen by this host.
type Dump struct {
	Group        topology.GroupID `json:"group"`
	LeaderlessMS int64            `json:"leaderless_ms"`
	AnchorAgeMS  int64            `json:"anchor_ms_ago"` // -1 if no anchor is known
	Members      []MemberDump     `json:"members"`
}

// Dump returns the group's state for operators.
func (g *Group) Dump() Dump {
	d := Dump{Group: g.opts.ID, LeaderlessMS: g.LeaderLoss().Duration.Milliseconds(), AnchorAgeMS: -1}
	if age, ok := g.AnchorAge(); ok {
		d.AnchorAgeMS = age.Milliseconds()
	}
	now, recoveryOn := steady.Now(), g.recoveryOn()
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, m := range g.members {
		limit := 0
		if load := m.pool.LoadFor(""); load.ByCustomer {
			limit = load.Limit
		}
		d.Members = append(d.Members, MemberDump{
			Target: m.info, Leads: id == g.view.leader, Unreachable: m.unreachable, Ended: m.pool.Ended(), Lagging: now.Before(m.lagBackoff.retryAt),
			LatencyMS: float64(m.latency.Microseconds()) / 1000, Load: m.pool.Load(), Limit: limit, Customers: m.pool.DumpCustomers(), Shared: m.pool.DumpShared(),
			Recovery: g.dumpRecovery(id, recoveryOn, now),
		})
	}
	return d
}
