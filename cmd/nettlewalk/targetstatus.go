package main

import (
	"fmt"
	"time"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// targetStatus returns the status of a target. Fields that this host doesn't
// know stay empty.
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
