package main

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	storeclient "nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// newStoreMetrics registers and returns the metrics set for calls to the store.
func newStoreMetrics() *metrics.Set {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return set
}

// startStoreFeeds starts the goroutines that update the catalog from the store.
// Each kind is watched and also polled.
func (h *fleetHost) startStoreFeeds(ctx context.Context) {
	log := h.log.WithName("catalog")
	configurationFeed := &catalog.ConfigurationFeed{
		Name: platform.NameConfiguration, Decode: platform.DecodeConfiguration, Store: h.catalog, Log: log,
	}
	go h.watchWhileReader(ctx, platform.KindConfiguration, configurationFeed)
	go configurationFeed.Poll(ctx, h.store, platform.KindConfiguration, catalog.ConfigurationSchedule(h.settings.ConfigApplyTimeout), h.gossip.Rank)
	registerFeed := &catalog.RegistryFeed{Decode: platform.DecodeMember, Store: h.catalog, Log: log}
	h.readRegister = func(ctx context.Context) error { return registerFeed.Read(ctx, h.store, platform.KindTargets) }
	go h.watchWhileReader(ctx, platform.KindTargets, registerFeed)
	go registerFeed.Poll(ctx, h.store, platform.KindTargets, catalog.RegistrySchedule(h.settings.DrainTimeout), h.gossip.Rank)
}

// watchCheckInterval is the interval at which a host checks whether it must
// watch the store itself.
const watchCheckInterval = 500 * time.Millisecond

// watchWhileReader watches a kind of object while the gossip rank of this host
// makes it one of the store's readers. A host without contact to any peer is
// always a reader. The other hosts receive changes from the readers by gossip
// within milliseconds.
func (h *fleetHost) watchWhileReader(ctx context.Context, kind string, sink storeclient.Sink) {
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	stop := func() {}
	for watching := false; ; {
		if wanted := h.gossip.Rank() < catalog.ReaderCount; wanted != watching {
			watching = wanted
			stop()
			stop = func() {}
			if wanted {
				var followCtx context.Context
				followCtx, stop = context.WithCancel(ctx)
				go h.store.Follow(followCtx, kind, sink)
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

// gossipCatalogChanges triggers a gossip round after each change of the catalog.
func (h *fleetHost) gossipCatalogChanges(ctx context.Context) {
	for {
		changed := h.catalog.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			h.gossip.TriggerRound()
		}
	}
}

// updateGroupWatchers starts a promotion watcher for each configured group,
// after each change of the catalog and at intervals.
func (h *fleetHost) updateGroupWatchers(ctx context.Context) {
	for {
		wait := groupCheckInterval
		changed := h.catalog.Changed()
		if c := h.catalog.Configuration(); c != nil && !h.ensureGroupWatchers(ctx, c) {
			wait = missingGroupInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// ensureGroupWatchers starts the missing watchers. It returns false if a group doesn't
// exist yet: group.Set creates it from the same change.
func (h *fleetHost) ensureGroupWatchers(ctx context.Context, c *catalog.Configuration) bool {
	ids := make([]topology.GroupID, 0, len(c.Groups))
	for id := range c.Groups {
		ids = append(ids, id)
	}
	h.duty.SetGroups(ids)
	question := &promotion.EndQuestion{
		Self: topology.HostID(h.settings.PeerAddr), Domains: h.settings.Domains, Hosts: h.gossip.Live, Peers: h.peers, Dialer: platform.TargetDialer{},
	}
	complete := true
	for _, id := range ids {
		groupState := h.groups.Group(id)
		if groupState == nil {
			complete = false
			continue
		}
		h.watchers.Ensure(ctx, id, func() *promotion.Watcher {
			options := promotion.Options{
				Group: id, Name: string(h.settings.Host), Dialer: platform.TargetDialer{}, Parse: platform.ParseTargetStatus,
				Promoter: platform.NewPromoter(h.settings.PromotionAddr), Duty: h.duty, DutyAnnounced: true, Catalog: h.catalog, GroupView: groupState,
				Commits: h.commitHolder, ReadRegister: h.readRegister, ReadHeartbeat: h.readHeartbeat, EntryLifetime: h.settings.RegistrationLifetime, AskHosts: question.Ask,
				Hosts: func() int { return len(h.gossip.Live()) }, Log: h.log.WithName("promotion"),
			}
			if h.grantor != nil {
				options.Leases = h.grantor
			}
			return promotion.NewWatcher(options)
		})
	}
	return complete
}

// readHeartbeat implements promotion.ReadHeartbeat.
func (h *fleetHost) readHeartbeat(ctx context.Context, id topology.TargetID) (beat catalog.Heartbeat, ok bool, err error) {
	object, err := h.store.Get(ctx, platform.KindTargets, string(id))
	var coded *result.Error
	if errors.As(err, &coded) && coded.Code == result.NotFound {
		return beat, false, nil
	}
	if err == nil {
		beat, err = platform.DecodeHeartbeat(string(id), object.Value)
	}
	return beat, err == nil, err
}

// primaryDomain returns the failure domain of a group's primary, or "" if the
// primary is unknown.
func (h *fleetHost) primaryDomain(id topology.GroupID) topology.Domain {
	var lastLeader topology.TargetID
	if g := h.groups.Group(id); g != nil {
		lastLeader, _ = g.LastLeader()
	}
	return h.catalog.PrimaryDomain(id, lastLeader)
}
