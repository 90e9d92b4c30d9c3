package main

import (
	"context"
	"net"
	"time"

	"nettlewalk.example/nettlewalk/internal/relay"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func (h *fleetHost) isReady() bool {
	reachable := h.groups.Ready() || h.gossip.HasUsablePeer()
	return !h.leaving.Load() && h.catalog.Configuration() != nil && reachable && !h.isIsolated()
}

// answerReadinessProbe reports whether this host is ready, and counts
// consecutive failed probes.
func (h *fleetHost) answerReadinessProbe() bool {
	ready := h.isReady()
	if ready {
		h.failedProbes.Store(0)
	} else {
		h.failedProbes.Add(1)
	}
	return ready
}

// isIsolated reports whether this host can't serve most requests while hosts of
// other failure domains probably can: it has lost contact with most failure
// domains, and more than half of the groups have no known leader.
func (h *fleetHost) isIsolated() bool {
	if h.gossip.Connected() {
		return false
	}
	if h.lessee != nil {
		return true // leases end shortly after the contact with their holders
	}
	leaderless, total := h.groups.Leaderless() // includes groups whose connections other hosts hold for this one
	return 2*leaderless > total
}

const (
	// probeFailureThreshold is the number of consecutive failed readiness
	// probes after which the platform routes new callers to other hosts.
	probeFailureThreshold  = 2
	isolationCheckInterval = 100 * time.Millisecond // interval between checks for isolation
)

// closeIdleSessionsWhileIsolated closes idle sessions while this host is
// isolated, once the platform routes new callers to other hosts.
func (h *fleetHost) closeIdleSessionsWhileIsolated(ctx context.Context) {
	ticker := time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if h.leaving.Load() {
			return
		}
		closeIdle := h.isIsolated() && h.failedProbes.Load() >= probeFailureThreshold
		reason := relay.NotDraining
		if closeIdle {
			reason = relay.Isolated
		}
		if h.relay.SetDraining(reason) {
			h.logIsolation(closeIdle)
		}
	}
}

// logIsolation logs that closing of idle sessions was switched, with the inputs of
// isIsolated.
func (h *fleetHost) logIsolation(closeIdle bool) {
	leaderless, groups := h.groups.Leaderless()
	contactAges := map[topology.Domain]int64{}
	for domain, age := range h.gossip.ContactAges() {
		contactAges[domain] = age.Milliseconds()
	}
	h.log.Info("closing of idle sessions switched", "on", closeIdle, "sessions", h.relay.Sessions(), "connected", h.gossip.Connected(),
		"contact_ms_ago", contactAges, "leaderless", leaderless, "groups", groups, "failed_probes", h.failedProbes.Load())
}

const (
	// deregistrationDelay is how long new callers still arrive after the
	// readiness probe starts to fail: two probes one second apart, plus a margin.
	deregistrationDelay = 2300 * time.Millisecond
	// exitMargin is the part of the grace period reserved for process exit.
	exitMargin = 700 * time.Millisecond
)

// shutDown drains this host without interrupting a running request: it waits
// until the platform sends no new callers, closes sessions between requests,
// aborts open transactions after half of the grace period, and waits for the
// remaining sessions.
func (h *fleetHost) shutDown(callers net.Listener) {
	start := time.Now()
	h.leaving.Store(true)
	h.log.Info("shutting down", "sessions", h.relay.Sessions())
	h.gossip.Leave()
	releaseCtx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	go h.duty.Release(releaseCtx)
	time.Sleep(deregistrationDelay)
	h.relay.SetDraining(relay.ShuttingDown)
	_ = callers.Close()
	time.Sleep(max(0, h.settings.GracePeriod/2-time.Since(start)))
	h.relay.AbortTransactions()
	allEnded := h.relay.WaitDrained(h.settings.GracePeriod - exitMargin - time.Since(start))
	h.log.Info("shut down", "all_ended", allEnded, "sessions", h.relay.Sessions())
}
