package main

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/failover"
	"nettlewalk.example/nettlewalk/internal/feature"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/floor"
	"nettlewalk.example/nettlewalk/internal/freshness"
	"nettlewalk.example/nettlewalk/internal/limit"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/session"
	"nettlewalk.example/nettlewalk/internal/settings"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/internal/usage"
)

// host is a proxy process with all of its components.
type host struct {
	settings *settings.Settings
	hints    bool // all refusals for which waiting helps have a hint
	log      logr.Logger
	bootID   uint64 // distinguishes this process from earlier processes of the same host
	dial     target.DialFunc
	login    target.Login

	platform    *platform.Client
	store       *customer.Store
	syncer      *customer.Syncer
	fleet       *fleet.Tracker
	server      *peer.Server
	peers       *peer.Client
	pool        *pool.Manager
	directory   *pool.Directory
	failover    *failover.Monitor
	floorKeeper *floor.Keeper
	floorClient *floor.Client
	freshness   *freshness.Poller
	router      *routing.PlainRouter
	sessions    *session.Server
	admin       *admin.Server
	usage       *usage.Keeper
	limiter     *limit.Limiter
}

// newHost creates and connects the components. It opens no listeners or connections.
func newHost(s *settings.Settings, retryTimes feature.Mode, log logr.Logger) *host {
	h := &host{
		settings: s,
		hints:    retryTimes == feature.On,
		log:      log,
		bootID:   uint64(time.Now().UnixNano()),
		dial:     mappedDial(s.AddressMap),
		login:    target.Login{User: s.Targets.User, Password: s.Targets.Password, Database: s.Targets.Database},
	}
	h.initConfiguration()
	h.initPeers()
	h.initUsageAndLimits()
	h.initTargets()
	h.initCallers()
	h.initAdmin()
	return h
}

func (h *host) initConfiguration() {
	h.store = customer.NewStore(h.log.WithName("customer"), metrics.GetDefaultSet())
	h.platform = platform.New(platform.Options{
		Addr:    h.settings.Platform.Addr,
		Caller:  string(h.settings.Host.ID),
		Budget:  h.settings.Platform.CallsPerSecond,
		Dial:    h.dial,
		Metrics: metrics.GetDefaultSet(),
		Log:     h.log.WithName("platform"),
	})
}

func (h *host) initPeers() {
	key := []byte(h.settings.Peers.Key)
	h.fleet = fleet.NewTracker(h.settings.HostInfo(), h.log.WithName("fleet"))
	h.server = peer.NewServer(key, h.settings.Host.ID, h.log.WithName("peer"))
	h.peers = peer.NewClient(key, h.settings.Host.ID, h.fleet.PeerAddr, h.dial)
	h.syncer = customer.NewSyncer(customer.SyncerOptions{
		Self:       h.settings.HostInfo(),
		Store:      h.store,
		Client:     h.platform,
		Peers:      h.peers,
		Seeds:      h.settings.Peers.Seeds,
		SeedCaller: seedCaller{key: key, self: h.settings.Host.ID, dial: h.dial},
		Metrics:    metrics.GetDefaultSet(),
		Log:        h.log.WithName("customer"),
	})
}

// initUsageAndLimits creates usage metering and the limiter, which sit between
// callers and targets.
func (h *host) initUsageAndLimits() {
	h.usage = usage.NewKeeper(usage.Options{
		Self:    h.settings.Host.ID,
		Boot:    h.bootID,
		Client:  h.platform,
		Peers:   h.peers,
		Hosts:   h.fleet.Hosts,
		Metrics: metrics.GetDefaultSet(),
		Log:     h.log.WithName("usage"),
	})
	h.limiter = limit.New(limit.Options{
		Self:    h.settings.Host.ID,
		Peers:   h.peers,
		Hosts:   h.fleet.Hosts,
		Metrics: metrics.GetDefaultSet(),
	})
}

func (h *host) initCallers() {
	h.router = routing.New(routing.Config{
		Self:      h.settings.Host.ID,
		Boot:      h.bootID,
		Domain:    h.settings.Host.Domain,
		Customers: h.store,
		Fleet:     meteredFleet{h.fleet, h.usage},
		Executor:  h.executor,
		State:     h.failover,
		Floors:    h.floorClient,
		Log:       h.log.WithName("routing"),
	})
	h.sessions = session.NewServer(session.Options{
		Customers:       h.store,
		Router:          h.limiter.Router(h.router, h.store),
		Log:             h.log.WithName("session"),
		Host:            h.settings.Host.ID,
		TokenKey:        []byte(h.settings.Callers.TokenKey),
		Fleet:           h.fleet,
		Peers:           h.peers,
		AllowTrust:      h.settings.Callers.AllowTrust,
		DefaultDeadline: h.settings.Callers.Deadline,
		MaxMessageBytes: h.settings.Callers.MaxMessageBytes,
		MaxSessions:     h.settings.Callers.MaxSessions,
		RetryTimes:      h.hints,
	})
}

// meteredFleet tells the usage keeper as well which hosts calls didn't reach.
type meteredFleet struct {
	fleet.View
	usage *usage.Keeper
}

// RecordCall implements fleet.View.
func (f meteredFleet) RecordCall(id topology.HostID, reachable bool) {
	f.View.RecordCall(id, reachable)
	if !reachable {
		f.usage.NoteUnreachable(id)
	}
}

// mappedDial returns a dial function that replaces published addresses by those
// that the settings map them to.
func mappedDial(addresses map[string]string) target.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if mapped, ok := addresses[addr]; ok {
			addr = mapped
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
}
