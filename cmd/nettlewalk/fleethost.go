package main

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/peer"
	storeclient "nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/relay"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// fleetHost is a host on the users' platform. It joins the slices and decides nothing.
type fleetHost struct {
	path     string // of the settings file
	settings *platform.Settings
	log      logr.Logger

	store   *storeclient.Client
	catalog *catalog.Store
	server  *peer.Server
	peers   *peer.Client
	gossip  *gossip.Gossip
	duty    *duty.Keeper
	desk    *promotion.Desk
	groups  *group.Set
	relay   *relay.Server
	holders holderIndex
	leaving atomic.Bool
	refused atomic.Int64 // probes in a row that were answered with not ready
}

const (
	storeTimeout = 1 * time.Second  // of one call to the store, which answers in milliseconds
	watchWait    = 20 * time.Second // a watch costs a call; a deaf one is noticed by the polls beside it
	// groupTick is the time between looks for groups without a watcher.
	groupTick = 1500 * time.Millisecond
	// lingerTime is how long targets keep the connections of a host that lost
	// power, and a little.
	lingerTime = 3300 * time.Millisecond
)

func newFleetHost(path string, s *platform.Settings, log logr.Logger) *fleetHost {
	h := &fleetHost{path: path, settings: s, log: log, catalog: catalog.NewStore(), desk: promotion.NewDesk()}
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
		Self: self, Name: string(s.Host), Boot: boot, Store: h.store, Hosts: h.gossip,
		Log: log.WithName("duty"), Changed: h.gossip.Kick,
	})
	h.gossip.SetClaims(h.duty)
	h.groups = group.NewSet(group.SetOptions{
		Domain: s.Domain, Dialer: platform.TargetDialer{}, Catalog: h.catalog,
		Size: h.shareOf, Suspect: h.suspect, LeaderFound: func(topology.GroupID, topology.TargetID) {},
		Log: log.WithName("group"),
	})
	h.relay = relay.NewServer(relay.Options{
		Catalog: h.catalog, Groups: h.groups, Accept: platform.NewCallerConn,
		Peers: &forwarding{Client: h.peers, host: h}, Log: log.WithName("relay"),
	})
	return h
}

// offers lists this host's connections for the others.
func (h *fleetHost) offers() []gossip.Offer {
	var list []gossip.Offer
	for _, o := range h.groups.Offers() {
		list = append(list, gossip.Offer(o))
	}
	return list
}

// heardOffers learns from another host which targets led last.
func (h *fleetHost) heardOffers(offers []gossip.Offer) {
	for _, o := range offers {
		if g := h.groups.Group(o.Group); g != nil && o.Last != "" {
			g.HeardLeader(o.Last, o.ProvedAgo)
		}
	}
}

// forwarding implements relay.Peers.
type forwarding struct {
	*peer.Client
	host *fleetHost
}

// Offers implements relay.Peers.
func (f *forwarding) Offers(id topology.GroupID) []relay.Offer {
	var list []relay.Offer
	for host, offers := range f.host.gossip.Offers() {
		for _, o := range offers {
			if o.Group == id && o.Open > 0 {
				list = append(list, relay.Offer{Host: host, Leads: o.Leads, Idle: o.Idle, Open: o.Open})
			}
		}
	}
	return list
}

// storeMetrics returns the set in which calls to the store are counted.
func storeMetrics() *metrics.Set {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return set
}

// peerKey is the key by which hosts of one deployment know each other. The
// platform gives them no secret.
func peerKey(s *platform.Settings) []byte {
	sum := fnv.New128a()
	_, _ = sum.Write([]byte(s.Store + " " + s.Promotions))
	return sum.Sum(nil)
}

func hostIDs(addrs []string) []topology.HostID {
	ids := make([]topology.HostID, 0, len(addrs))
	for _, a := range addrs {
		ids = append(ids, topology.HostID(a))
	}
	return ids
}

// shareOf returns how many connections to a target this host keeps open. The
// holders of a group are the same for all of its targets: whoever reads at a
// replica also knows the leader's positions.
func (h *fleetHost) shareOf(t topology.Target, limit int) int {
	hosts := h.gossip.Sharers()
	holders, size := share.Plan(limit, len(hosts))
	if holders < len(hosts) {
		group := topology.Target{ID: topology.TargetID(t.Group), Slots: holders}
		if !slices.Contains(h.holders.index(hosts).Holders(group), topology.HostID(h.settings.Peers)) {
			return 0
		}
	}
	if !h.gossip.Settled(lingerTime) {
		return 1
	}
	return size
}

// holderIndex keeps the index of the hosts until their list changes.
type holderIndex struct {
	mu    sync.Mutex
	hosts []topology.Host
	last  *fleet.Index
}

func (x *holderIndex) index(hosts []topology.Host) *fleet.Index {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.last == nil || !slices.Equal(x.hosts, hosts) {
		x.hosts, x.last = hosts, fleet.NewIndex(hosts)
	}
	return x.last
}

// suspect reports a target that can't be reached to the holder of the duty.
func (h *fleetHost) suspect(id topology.GroupID, target topology.TargetID, _ statement.DialOutcome) {
	holder, ok := h.duty.Holder(id)
	if !ok {
		return
	}
	silence := promotion.Silence{From: topology.HostID(h.settings.Peers), Group: id, Target: target}
	if holder == silence.From {
		h.desk.Take(silence)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := promotion.Send(ctx, h.peers, holder, silence); err != nil {
			h.log.V(1).Info("silence not reported", "group", id, "target", target, "error", err.Error())
		}
	}()
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

// followStore keeps the catalog up to date, by watches and by polls beside them.
func (h *fleetHost) followStore(ctx context.Context) {
	log := h.log.WithName("catalog")
	configurations := &catalog.ConfigurationFeed{
		Name: platform.NameConfiguration, Decode: platform.DecodeConfiguration, Store: h.catalog, Log: log,
	}
	go h.watch(ctx, platform.KindConfiguration, configurations)
	go configurations.Poll(ctx, h.store, platform.KindConfiguration, h.gossip.Rank)
	register := &catalog.RegisterFeed{Decode: platform.DecodeMember, Store: h.catalog, Log: log}
	go h.watch(ctx, platform.KindTargets, register)
	go register.Poll(ctx, h.store, platform.KindTargets, h.gossip.Rank)
}

const (
	// watchers is how many of the hosts in contact watch the store. The others
	// hear of news from them within milliseconds.
	watchers  = 3
	watchTick = 500 * time.Millisecond // between looks whether this host is to watch
)

// watch watches a kind while this host is one of the watchers, which it is
// alone when it is in contact with nobody.
func (h *fleetHost) watch(ctx context.Context, kind string, sink storeclient.Sink) {
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	stop := func() {}
	for watching := false; ; {
		if wanted := h.gossip.Rank() < watchers; wanted != watching {
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

// listen opens every address of the host and serves them.
func (h *fleetHost) listen(ctx context.Context) (callers net.Listener, err error) {
	if err := h.server.Register(gossip.ServiceName, h.gossip.Service()); err != nil {
		return nil, err
	}
	if err := h.server.Register(promotion.ServiceName, h.desk.Service()); err != nil {
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
	go func() { _ = h.server.Serve(ctx, peers) }()
	go func() { _ = http.Serve(ready, platform.ReadinessHandler(h.probe)) }()
	go func() { _ = http.Serve(inspect, h.inspection()) }()
	go func() {
		if err := h.relay.Serve(ctx, callers); err != nil {
			h.log.Error(err, "callers are served no more")
		}
	}()
	return callers, nil
}

func (h *fleetHost) isReady() bool {
	reachable := h.groups.Ready() || len(h.gossip.Offers()) > 0
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
		h.desk.Ensure(ctx, id, func() *promotion.Watcher {
			return promotion.NewWatcher(promotion.Options{
				Group: id, Name: string(h.settings.Host), Dialer: platform.TargetDialer{}, Parse: platform.ParseStatus,
				Promoter: platform.NewPromoter(h.settings.Promotions), Duty: h.duty, Contact: h.gossip, Catalog: h.catalog, Belief: belief,
				Hosts: func() int { return len(h.gossip.Live()) }, Log: h.log.WithName("promotion"),
			})
		})
	}
}

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 5 * time.Second

// followSettings reloads the settings file on SIGHUP and when it changes, until
// ctx ends.
func (h *fleetHost) followSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := modified(h.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			h.reload("signal")
		case <-ticker.C:
			if at := modified(h.path); !at.Equal(seen) {
				seen = at
				h.reload("file changed")
			}
		}
	}
}

// modified returns when the file was changed last, the zero time if it can't be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes what can change while the host runs: the seeds. A file with
// faults changes nothing; a new address needs a restart.
func (h *fleetHost) reload(cause string) {
	s, err := platform.LoadSettings(h.path)
	if err != nil {
		h.log.Error(err, "settings not reloaded", "cause", cause)
		return
	}
	h.gossip.Add(hostIDs(s.Seeds)...)
	h.log.Info("settings reloaded", "cause", cause, "addresses_changed", s.Addresses() != h.settings.Addresses())
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
