package main

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// initAdmin creates the administration API, which reads state from every component.
func (h *host) initAdmin() {
	h.admin = admin.New(admin.Options{
		Self:               h.settings.HostInfo(),
		Operators:          h.operators(),
		Store:              h.store,
		Platform:           h.platform,
		Peers:              h.peers,
		Hosts:              h.fleet.Hosts,
		ConfigurationReady: h.syncer.Health,
		Dumps: map[string]func() any{
			"customer":  h.store.Dump,
			"fleet":     h.fleet.Dump,
			"pool":      h.pool.Dump,
			"failover":  h.failover.Dump,
			"floor":     h.floorKeeper.Dump,
			"freshness": h.freshness.Dump,
			"routing":   h.router.Dump,
			"session":   h.sessions.Dump,
			"usage":     h.usage.Dump,
			"limit":     h.limiter.Dump,
		},
		Groups: h.groupStatus,
		Slots:  h.pool.Dump,
		Usage: func(ctx context.Context, id topology.CustomerID) (any, error) {
			return h.usage.Report(ctx, id)
		},
		Log: h.log.WithName("admin"),
	})
}

func (h *host) operators() []admin.Operator {
	operators := make([]admin.Operator, len(h.settings.Operators))
	for i, o := range h.settings.Operators {
		operators[i] = admin.Operator{Name: o.Name, Token: o.Token, Customers: o.Customers}
	}
	return operators
}

// groupStatus returns the status of each group as this host sees it.
func (h *host) groupStatus() []admin.GroupStatus {
	views := h.router.State().Groups
	groups := h.store.Groups()
	statuses := make([]admin.GroupStatus, len(groups))
	for i, g := range groups {
		statuses[i] = h.statusOfGroup(g, views[g.ID])
	}
	return statuses
}

func (h *host) statusOfGroup(g *topology.Group, view routing.GroupViewState) admin.GroupStatus {
	status := admin.GroupStatus{ID: g.ID, Term: g.Term, Primary: g.Primary}
	if term, primary, ok := h.failover.CurrentPrimary(g.ID); ok && term > status.Term {
		status.Term, status.Primary = term, primary
	}
	if view.Term > status.Term {
		status.Term, status.Primary = view.Term, view.Primary
	}
	states := map[topology.TargetID]routing.TargetState{}
	for _, t := range view.Targets {
		states[t.ID] = t
	}
	for _, t := range g.Targets {
		status.Targets = append(status.Targets, targetStatus(t, status.Primary, states[t.ID]))
	}
	return status
}
