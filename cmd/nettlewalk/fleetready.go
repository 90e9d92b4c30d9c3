package main

import (
	"context"
	"net"
	"time"
)

func (h *fleetHost) isReady() bool {
	reachable := h.groups.Ready() || h.gossip.Reachable()
	return !h.leaving.Load() && h.catalog.Configuration() != nil && reachable && !h.cutOff()
}

// probe answers the readiness probe and counts failed ones in a row.
func (h *fleetHost) probe() bool {
	ready := h.isReady()
	if ready {
		h.refused.Store(0)
	} else {
		h.refused.Add(1)
	}
	return ready
}

// cutOff tells whether this host can't serve most requests, while hosts of other
// failure domains most likely can.
func (h *fleetHost) cutOff() bool {
	without, all := h.groups.Leaderless() // those that other hosts hold for this one count as well
	return !h.gossip.Connected() && 2*without > all
}

const (
	// failedProbes is how many probes must have failed before the platform
	// leads new callers elsewhere.
	failedProbes = 2
	awayTick     = 100 * time.Millisecond // between looks whether callers are to be sent away
)

// sendCallersAway closes idle sessions while this host is cut off, once new ones
// are led elsewhere.
func (h *fleetHost) sendCallersAway(ctx context.Context) {
	ticker := time.NewTicker(awayTick)
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
		away := h.cutOff() && h.refused.Load() >= failedProbes
		if h.relay.CloseIdle(away) {
			h.log.Info("callers are sent away", "on", away, "sessions", h.relay.Sessions())
		}
	}
}

const (
	// rotationTime is how long new callers still come after the readiness probe
	// fails: two probes a second apart, and a little.
	rotationTime = 2300 * time.Millisecond
	// exitMargin is kept of the grace period for the process's end.
	exitMargin = 700 * time.Millisecond
)

// leave stops without cutting a request: it waits until no new callers are sent
// here, closes sessions between requests, ends transactions after half of the
// grace period, and waits for the rest.
func (h *fleetHost) leave(callers net.Listener) {
	began := time.Now()
	h.leaving.Store(true)
	h.log.Info("leaving", "sessions", h.relay.Sessions())
	h.gossip.Leave()
	release, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	go h.duty.Release(release)
	time.Sleep(rotationTime)
	h.relay.CloseIdle(true)
	_ = callers.Close()
	time.Sleep(max(0, h.settings.Grace/2-time.Since(began)))
	h.relay.CutTransactions()
	whole := h.relay.Wait(h.settings.Grace - exitMargin - time.Since(began))
	h.log.Info("left", "all_ended", whole, "sessions", h.relay.Sessions())
}
