package main

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/catalog"
	storeclient "nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// storeMetrics returns the set in which calls to the store are counted.
func storeMetrics() *metrics.Set {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return set
}

// followStore keeps the catalog up to date, by watches and by polls beside them.
func (h *fleetHost) followStore(ctx context.Context) {
	log := h.log.WithName("catalog")
	configurations := &catalog.ConfigurationFeed{
		Name: platform.NameConfiguration, Decode: platform.DecodeConfiguration, Store: h.catalog, Log: log,
	}
	go h.watch(ctx, platform.KindConfiguration, configurations)
	go configurations.Poll(ctx, h.store, platform.KindConfiguration, catalog.ConfigurationSchedule(h.settings.ApplyWithin), h.gossip.Rank)
	register := &catalog.RegisterFeed{Decode: platform.DecodeMember, Store: h.catalog, Log: log}
	go h.watch(ctx, platform.KindTargets, register)
	go register.Poll(ctx, h.store, platform.KindTargets, catalog.RegisterSchedule(h.settings.DrainWithin), h.gossip.Rank)
}

// watchTick is the time between looks whether this host is to watch.
const watchTick = 500 * time.Millisecond

// watch watches a kind while this host is one of the first that read the store,
// which it is alone when it is in contact with nobody. The others hear of news
// from them within milliseconds.
func (h *fleetHost) watch(ctx context.Context, kind string, sink storeclient.Sink) {
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	stop := func() {}
	for watching := false; ; {
		if wanted := h.gossip.Rank() < catalog.Readers; wanted != watching {
			watching = wanted
			stop()
			stop = func() {}
			if wanted {
				var following context.Context
				following, stop = context.WithCancel(ctx)
				go h.store.Follow(following, kind, sink)
			}
		}
		select {
		case <-ctx.Done():
			stop()
			return
		case <-ticker.C:
		}
	}
}

// spread tells other hosts of each change of the catalog at once.
func (h *fleetHost) spread(ctx context.Context) {
	for {
		changed := h.catalog.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			h.gossip.Kick()
		}
	}
}

// followGroups starts a watcher for each group.
func (h *fleetHost) followGroups(ctx context.Context) {
	ticker := time.NewTicker(groupTick)
	defer ticker.Stop()
	for {
		changed := h.catalog.Changed()
		if c := h.catalog.Configuration(); c != nil {
			h.watchGroups(ctx, c)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (h *fleetHost) watchGroups(ctx context.Context, c *catalog.Configuration) {
	ids := make([]topology.GroupID, 0, len(c.Groups))
	for id := range c.Groups {
		ids = append(ids, id)
	}
	h.duty.SetGroups(ids)
	for _, id := range ids {
		belief := h.groups.Group(id)
		if belief == nil {
			continue // it is made from the same change, and found at the next look
		}
		h.watchers.Ensure(ctx, id, func() *promotion.Watcher {
			return promotion.NewWatcher(promotion.Options{
				Group: id, Name: string(h.settings.Host), Dialer: platform.TargetDialer{}, Parse: platform.ParseStatus,
				Promoter: platform.NewPromoter(h.settings.Promotions), Duty: h.duty, Contact: h.gossip, Catalog: h.catalog, Belief: belief,
				Hosts: func() int { return len(h.gossip.Live()) }, Log: h.log.WithName("promotion"),
			})
		})
	}
}

// primaryDomain returns the failure domain of a group's primary, "" if it isn't known.
func (h *fleetHost) primaryDomain(id topology.GroupID) topology.Domain {
	var last topology.TargetID
	if g := h.groups.Group(id); g != nil {
		last, _ = g.LastLeader()
	}
	return h.catalog.PrimaryDomain(id, last)
}
