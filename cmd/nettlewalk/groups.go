package main

import (
	"fmt"
	"time"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// groupStatus tells what this host knows of each group.
func (h *host) groupStatus() []admin.GroupStatus {
	known := h.router.State().Groups
	groups := h.store.Groups()
	statuses := make([]admin.GroupStatus, len(groups))
	for i, g := range groups {
		statuses[i] = h.statusOf(g, known[g.ID])
	}
	return statuses
}

func (h *host) statusOf(g *topology.Group, known routing.GroupViewState) admin.GroupStatus {
	status := admin.GroupStatus{ID: g.ID, Term: g.Term, Primary: g.Primary}
	if term, primary, ok := h.failover.State(g.ID); ok && term > status.Term {
		status.Term, status.Primary = term, primary
	}
	if known.Term > status.Term {
		status.Term, status.Primary = known.Term, known.Primary
	}
	states := map[topology.TargetID]routing.TargetState{}
	for _, t := range known.Targets {
		states[t.ID] = t
	}
	for _, t := range g.Targets {
		status.Targets = append(status.Targets, targetStatus(t, status.Primary, states[t.ID]))
	}
	return status
}

// targetStatus leaves empty what this host doesn't know.
func targetStatus(t topology.Target, primary topology.TargetID, state routing.TargetState) admin.TargetStatus {
	status := admin.TargetStatus{ID: t.ID, Role: string(target.Replica)}
	if t.ID == primary {
		status.Role = string(target.Primary)
	}
	if t.Leaving {
		status.Role += ", leaving"
	}
	if state.Down {
		status.Role += ", failed lately"
	}
	if state.Known {
		status.Applied = state.Applied.String()
	}
	if state.Known && t.ID != primary {
		status.Lag = fmt.Sprint(time.Duration(state.LagMS+state.SeenMS) * time.Millisecond)
	}
	return status
}
