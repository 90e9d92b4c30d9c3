package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/capacity"
	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/peer"
	storeclient "nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/quota"
	"nettlewalk.example/nettlewalk/internal/relay"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// fleetHost is a proxy process on the users' platform. It connects the
// components and contains no decision logic of its own.
type fleetHost struct {
	settingsPath string // path of the settings file
	settings     *platform.Settings
	options      serveOptions
	log          logr.Logger

	store        *storeclient.Client
	catalog      *catalog.Store
	server       *peer.Server
	peers        *peer.Client
	gossip       *gossip.Gossip
	duty         *duty.Keeper
	watchers     *promotion.Watchers
	groups       *group.Set
	relay        *relay.Server
	grantor      *lease.Grantor // nil if primaries are fenced
	lessee       *lease.Lessee  // nil if primaries are fenced
	startedAt    time.Time      // package steady
	voters       *confirm.Voters
	commits      *confirm.Confirmer
	commitHolder *confirm.Holder
	receipts     *promotion.Receipts
	locality     *locality.Router // nil if no prices are set
	quota        *quota.Quota     // nil if the settings don't bound rates
	capacity     *capacity.Coordinator
	readRegister func(context.Context) error // set before the watchers start
	holders      share.Holders
	homes        homeCache
	leaving      atomic.Bool
	failedProbes atomic.Int64 // consecutive readiness probes answered with not ready
}

const (
	storeTimeout = 1 * time.Second  // without data from the store, which usually answers in milliseconds
	watchWait    = 20 * time.Second // each watch costs one call; the polls cover a watch that delivers no events
	// groupCheckInterval is the interval between checks for groups without a watcher.
	groupCheckInterval = 1500 * time.Millisecond
	// missingGroupInterval is that interval while a configured group doesn't exist yet.
	missingGroupInterval = 20 * time.Millisecond
)

func newFleetHost(path string, s *platform.Settings, options serveOptions, log logr.Logger) *fleetHost {
	h := &fleetHost{settingsPath: path, settings: s, options: options, log: log, catalog: catalog.NewStore(), watchers: promotion.NewWatchers(), startedAt: steady.Now()}
	h.locality = locality.NewRouter(options.prices, s.Domain, log.WithName("locality"))
	self := topology.HostID(s.PeerAddr)
	bootID := rand.Uint64()
	key := peerKey(s)
	h.store = storeclient.New(storeclient.Options{
		Addr: s.StoreAddr, CallTimeout: storeTimeout, WatchWait: watchWait,
		Dialect: platform.StoreDialect{}, Metrics: newStoreMetrics(), Log: log.WithName("store"),
	})
	h.server = peer.NewServer(key, self, log.WithName("peer"))
	resolve := func(id topology.HostID) (string, bool) { return string(id), true }
	h.peers = peer.NewClient(key, self, resolve, nil)
	gossipOptions := gossip.Options{
		Self:    gossip.Host{Addr: self, Name: string(s.Host), Domain: s.Domain, Boot: bootID, Weight: s.CPUShare},
		Seeds:   hostIDs(s.Seeds),
		Domains: s.Domains,
		Catalog: h.catalog, Caller: h.peers, Offers: h.connectionOffers, OnOffers: h.learnLeaders, Log: log.WithName("gossip"),
	}
	gossipOptions.PreferOwnDomain = h.locality != nil
	gossipOptions.ContactDomains = s.Quota.Window > 0 // limits are divided by the votes in contact
	gossipOptions.StoreEra, gossipOptions.OnStoreEra = h.store.Era, h.store.NoteEra
	if !s.PrimariesFenced {
		gossipOptions.HostVotes = true
		gossipOptions.GrantLeases = func(id topology.HostID, ids []topology.GroupID) []lease.Lease { return h.grantor.Grant(id, ids) }
		gossipOptions.OnLeases = func(leases []lease.Lease, sentAt time.Time) { h.lessee.Note(leases, sentAt) }
	}
	h.gossip = gossip.New(gossipOptions)
	h.duty = duty.New(duty.Options{
		Self: self, Name: string(s.Host), Boot: bootID, Domain: s.Domain, Store: h.store, Hosts: h.gossip,
		PrimaryDomain: h.primaryDomain, Log: log.WithName("duty"), OnChange: h.dutyChanged,
	})
	h.gossip.SetClaims(h.duty)
	h.createCommits(bootID)
	statementMemory, answerMemory := newMemoryBudgets(s.MemoryBytes)
	groupOptions := group.SetOptions{
		Domain: s.Domain, Dialer: platform.TargetDialer{Memory: answerMemory}, Catalog: h.catalog,
		Size: h.connectionShare, Customers: h.groupCustomers, OnSuspect: h.reportUnreachable,
		SharedHolders: h.sharedHolders, OnWaiting: func(id topology.GroupID) { h.capacity.NoteWaiting(id) },
		Recovery: h.budgetsRetries, LeaveNotice: s.DrainTimeout,
		Log: log.WithName("group"),
	}
	if !s.PrimariesFenced {
		h.createLeases()
		groupOptions.Leases = h.lessee.Table
	}
	h.groups = group.NewSet(groupOptions)
	h.createQuota()
	h.relay = relay.NewServer(relay.Options{
		Catalog: h.catalog, Groups: h.groups, Accept: platform.AcceptCaller(statementMemory),
		Peers:      &relayPeers{Client: h.peers, host: h},
		Revocation: keys.Policy{Strict: s.Revocation.Strict, Timeout: s.Revocation.Timeout}, ConfirmedAt: h.catalog.ConfirmedAt,
		Commits: h.commits,
		Homes:   h.customerHomes, Self: self, Locality: h.locality, Quota: h.quota,
		RetryBudget: h.budgetsRetries, Hosts: func() int { return len(h.gossip.Sharers().Hosts) },
		RetryTimes: relay.RetryTimes{Mode: options.retryTimes, Hosts: func() int { return len(h.gossip.Live()) }},
		Log:        log.WithName("relay"),
	})
	return h
}

// budgetsRetries reports whether the retry budget, slow start and outlier ejection are in
// force.
func (h *fleetHost) budgetsRetries() bool {
	return h.options.retryBudget.Enabled(hasCustomers(h.catalog.Configuration()))
}

// dutyChanged spreads a change of the claim on a group's duty.
func (h *fleetHost) dutyChanged(id topology.GroupID) {
	h.gossip.TriggerRound()
	h.watchers.DutyChanged(id)
}

// createCommits creates what confirms commits before callers hear of them.
func (h *fleetHost) createCommits(bootID uint64) {
	self, log := topology.HostID(h.settings.PeerAddr), h.log.WithName("confirm")
	h.voters = confirm.NewVoters(bootID, h.heardOfHolder)
	h.receipts = promotion.NewReceipts(promotion.ReceiptOptions{
		Dialer: platform.TargetDialer{}, Parse: platform.ParseTargetStatus, Members: h.duty.StoredMembers, AckReplicas: h.catalog.AckReplicas,
	})
	h.commits = confirm.New(confirm.Options{
		Self: self, Local: h.voters, Peers: h.peers, Electorate: h.duty.Electorate, Holder: h.duty.Holder, Receipts: h.receipts, Needed: h.catalog.AwaitsReplicas, Log: log,
	})
	options := confirm.HolderOptions{Self: self, Local: h.voters, Peers: h.peers, Duty: h.duty, Processes: h.gossip.Processes, Receipts: h.receipts, Log: log}
	options.Restored = func() bool { return h.store.Era() > 0 }
	if !h.settings.PrimariesFenced { // requests are recorded before they are sent
		options.NotOrdered = h.duty.RecordsNoOrder
	}
	h.commitHolder = confirm.NewHolder(options)
}

// heardOfHolder reports whether the holder of a group's duty, if there is one, was heard of
// within confirm.HolderSilence.
func (h *fleetHost) heardOfHolder(id topology.GroupID) bool {
	holder, held := h.duty.Holder(id)
	if !held || holder == topology.HostID(h.settings.PeerAddr) {
		return true
	}
	ago, heard := h.gossip.HeardAgo(holder)
	if !heard {
		ago = steady.Now().Sub(h.startedAt)
	}
	return ago < confirm.HolderSilence
}

// createLeases creates both sides of the leases on the leadership of groups.
func (h *fleetHost) createLeases() {
	log := h.log.WithName("lease")
	h.grantor = lease.NewGrantor(lease.GrantorOptions{Duty: h.duty, Peers: h.peers, OnAvailable: func() { h.lessee.WakeUp() }, Log: log})
	h.lessee = lease.NewLessee(lease.LesseeOptions{
		Self: topology.HostID(h.settings.PeerAddr), Peers: h.peers, Grantor: h.grantor, Holder: h.duty.Holder,
		Groups: func() []topology.GroupID { return h.groups.Connected() },
		OnBegin: func(id topology.GroupID, _ topology.TargetID) {
			if g := h.groups.Group(id); g != nil {
				g.LeaseBegun()
			}
		},
		OnEnd: func(id topology.GroupID) {
			if g := h.groups.Group(id); g != nil {
				g.LeaseEnded()
			}
		},
		Log: log,
	})
}

// createQuota creates the limit on the customers' rates, if the settings bound them.
func (h *fleetHost) createQuota() {
	if h.settings.Quota.Window <= 0 {
		return
	}
	h.quota = quota.New(quota.Options{
		Self: topology.HostID(h.settings.PeerAddr), Domain: h.settings.Domain, Peers: h.peers,
		Hosts: func() ([]topology.Host, uint64) {
			present := h.gossip.Present()
			return present.Hosts, present.Version
		},
		Reach: h.gossip.Reach, Configuration: h.catalog.Configuration, Bounds: quota.Bounds(h.settings.Quota), Log: h.log.WithName("quota"),
	})
}

// run serves until ctx is canceled and then shuts down.
func (h *fleetHost) run(ctx context.Context, hangup <-chan os.Signal) error {
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	h.createCapacity(serveCtx)
	callers, err := h.listen(serveCtx)
	if err != nil {
		return err
	}
	h.startStoreFeeds(serveCtx)
	go h.gossip.Run(serveCtx)
	go h.duty.Run(serveCtx)
	go h.groups.Run(serveCtx)
	if h.lessee != nil {
		go h.lessee.Run(serveCtx)
	}
	go h.updateGroupWatchers(serveCtx)
	go h.gossipCatalogChanges(serveCtx)
	go h.relay.WatchKeys(serveCtx, h.catalog.Changed)
	go h.closeIdleSessionsWhileIsolated(serveCtx)
	go h.logStoreTransitions(serveCtx)
	h.log.Info("serving", "callers", h.settings.CallerAddr, "peers", h.settings.PeerAddr, "metrics", h.settings.MetricsAddr)
	h.watchSettings(ctx, hangup)
	h.shutDown(callers)
	return nil
}

// listen opens all listeners of the host and starts to serve them. It returns
// the listener for callers.
func (h *fleetHost) listen(ctx context.Context) (callers net.Listener, err error) {
	if err := h.server.Register(gossip.ServiceName, h.gossip.Service()); err != nil {
		return nil, err
	}
	if err := h.server.Register(promotion.ServiceName, h.watchers.Service(platform.TargetDialer{})); err != nil {
		return nil, err
	}
	if err := h.server.Register(confirm.ServiceName, h.voters); err != nil {
		return nil, err
	}
	if err := h.server.Register(confirm.ReceiptServiceName, confirm.NewReceiptService(h.receipts, h.duty.Electorate)); err != nil {
		return nil, err
	}
	if h.lessee != nil {
		if err := h.server.Register(lease.ServiceName, lease.NewService(h.grantor, h.lessee)); err != nil {
			return nil, err
		}
	}
	if h.quota != nil {
		if err := h.server.Register(quota.ServiceName, h.quota.Service()); err != nil {
			return nil, err
		}
	}
	if err := h.server.Register(capacity.ServiceName, h.capacity.Service()); err != nil {
		return nil, err
	}
	if err := h.server.Register(relay.ServiceName, h.relay.Service()); err != nil {
		return nil, err
	}
	if callers, err = net.Listen("tcp", h.settings.CallerAddr); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", h.settings.PeerAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	readiness, err := net.Listen("tcp", h.settings.ReadinessAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness probes")
	}
	inspection, err := net.Listen("tcp", h.settings.MetricsAddr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	go h.runListener("peers", func() error { return h.server.Serve(ctx, peers) })
	go h.runListener("probes", func() error { return http.Serve(readiness, platform.ReadinessHandler(h.answerReadinessProbe)) })
	go h.runListener("metrics", func() error { return http.Serve(inspection, h.inspectionHandler()) })
	go h.runListener("callers", func() error { return h.relay.Serve(ctx, callers) })
	return callers, nil
}

// runListener runs the serve loop of a listener and logs its error. A loop
// returns an error only on an unexpected failure.
func (h *fleetHost) runListener(listener string, serveLoop func() error) {
	if err := serveLoop(); err != nil {
		h.log.Error(err, "listener failed", "whom", listener)
	}
}
