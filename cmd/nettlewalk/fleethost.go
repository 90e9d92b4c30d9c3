package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/peer"
	storeclient "nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/relay"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// fleetHost is a host on the users' platform. It joins the slices and decides nothing.
type fleetHost struct {
	path     string // of the settings file
	settings *platform.Settings
	log      logr.Logger

	store    *storeclient.Client
	catalog  *catalog.Store
	server   *peer.Server
	peers    *peer.Client
	gossip   *gossip.Gossip
	duty     *duty.Keeper
	watchers *promotion.Watchers
	groups   *group.Set
	relay    *relay.Server
	holders  share.Holders
	leaving  atomic.Bool
	refused  atomic.Int64 // probes in a row that were answered with not ready
}

const (
	storeTimeout = 1 * time.Second  // of one call to the store, which answers in milliseconds
	watchWait    = 20 * time.Second // a watch costs a call; one without events is noticed by the polls beside it
	// groupTick is the time between looks for groups without a watcher.
	groupTick = 1500 * time.Millisecond
	// lingerTime is how long targets keep the connections of a host that lost
	// power, and a little.
	lingerTime = 3300 * time.Millisecond
)

func newFleetHost(path string, s *platform.Settings, log logr.Logger) *fleetHost {
	h := &fleetHost{path: path, settings: s, log: log, catalog: catalog.NewStore(), watchers: promotion.NewWatchers()}
	self := topology.HostID(s.Peers)
	boot := rand.Uint64()
	key := peerKey(s)
	h.store = storeclient.New(storeclient.Options{
		Addr: s.Store, CallTimeout: storeTimeout, WatchWait: watchWait,
		Dialect: platform.StoreDialect{}, Metrics: storeMetrics(), Log: log.WithName("store"),
	})
	h.server = peer.NewServer(key, self, log.WithName("peer"))
	resolve := func(id topology.HostID) (string, bool) { return string(id), true }
	h.peers = peer.NewClient(key, self, resolve, nil)
	h.gossip = gossip.New(gossip.Options{
		Self:    gossip.Host{Addr: self, Name: string(s.Host), Domain: s.Domain, Boot: boot},
		Seeds:   hostIDs(s.Seeds),
		Catalog: h.catalog, Caller: h.peers, Offers: h.offers, Heard: h.heardOffers, Log: log.WithName("gossip"),
	})
	h.duty = duty.New(duty.Options{
		Self: self, Name: string(s.Host), Boot: boot, Domain: s.Domain, Store: h.store, Hosts: h.gossip,
		PrimaryDomain: h.primaryDomain, Log: log.WithName("duty"), Changed: h.gossip.Kick,
	})
	h.gossip.SetClaims(h.duty)
	h.groups = group.NewSet(group.SetOptions{
		Domain: s.Domain, Dialer: platform.TargetDialer{}, Catalog: h.catalog,
		Size: h.shareOf, Suspect: h.suspect,
		Log: log.WithName("group"),
	})
	h.relay = relay.NewServer(relay.Options{
		Catalog: h.catalog, Groups: h.groups, Accept: platform.NewCallerConn,
		Peers: &forwarding{Client: h.peers, host: h}, Log: log.WithName("relay"),
	})
	return h
}

// run serves until ctx ends and then leaves.
func (h *fleetHost) run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	callers, err := h.listen(work)
	if err != nil {
		return err
	}
	h.followStore(work)
	go h.gossip.Run(work)
	go h.duty.Run(work)
	go h.groups.Run(work)
	go h.followGroups(work)
	go h.spread(work)
	go h.sendCallersAway(work)
	go h.followStoreState(work)
	h.log.Info("serving", "callers", h.settings.Callers, "peers", h.settings.Peers, "metrics", h.settings.MetricsAt)
	h.followSettings(ctx)
	h.leave(callers)
	return nil
}

// listen opens every address of the host and serves them.
func (h *fleetHost) listen(ctx context.Context) (callers net.Listener, err error) {
	if err := h.server.Register(gossip.ServiceName, h.gossip.Service()); err != nil {
		return nil, err
	}
	if err := h.server.Register(promotion.ServiceName, h.watchers.Service()); err != nil {
		return nil, err
	}
	if err := h.server.Register(relay.ServiceName, h.relay.Service()); err != nil {
		return nil, err
	}
	if callers, err = net.Listen("tcp", h.settings.Callers); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", h.settings.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	ready, err := net.Listen("tcp", h.settings.Readiness)
	if err != nil {
		return nil, errors.Wrap(err, "listen for probes")
	}
	inspect, err := net.Listen("tcp", h.settings.MetricsAt)
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	go h.serve("peers", func() error { return h.server.Serve(ctx, peers) })
	go h.serve("probes", func() error { return http.Serve(ready, platform.ReadinessHandler(h.probe)) })
	go h.serve("metrics", func() error { return http.Serve(inspect, h.inspection()) })
	go h.serve("callers", func() error { return h.relay.Serve(ctx, callers) })
	return callers, nil
}

// serve runs a listener's loop, which ends with an error only by a fault.
func (h *fleetHost) serve(whom string, loop func() error) {
	if err := loop(); err != nil {
		h.log.Error(err, "listener has ended", "whom", whom)
	}
}
