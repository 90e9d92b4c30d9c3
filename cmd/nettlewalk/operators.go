package main

import (
	"nettlewalk.example/nettlewalk/internal/admin"
)

// joinOperators joins the administration API to every slice.
func (h *host) joinOperators() {
	h.admin = admin.New(admin.Options{
		Self:      h.settings.HostInfo(),
		Operators: h.operators(),
		Store:     h.store,
		Client:    h.platform,
		Peers:     h.peers,
		Hosts:     h.fleet.Hosts,
		Health:    h.spreader.Health,
		Dumps: map[string]func() any{
			"customer":  h.store.Dump,
			"fleet":     h.fleet.Dump,
			"pool":      h.pool.Dump,
			"failover":  h.failover.Dump,
			"floor":     h.keeper.Dump,
			"freshness": h.freshness.Dump,
			"routing":   h.router.Dump,
			"session":   h.sessions.Dump,
		},
		Groups: h.groupStatus,
		Slots:  h.pool.Dump,
		Log:    h.log.WithName("admin"),
	})
}

func (h *host) operators() []admin.Operator {
	operators := make([]admin.Operator, len(h.settings.Operators))
	for i, o := range h.settings.Operators {
		operators[i] = admin.Operator{Name: o.Name, Token: o.Token, Customers: o.Customers}
	}
	return operators
}
