package main

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/failover"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/floor"
	"nettlewalk.example/nettlewalk/internal/limit"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/session"
	"nettlewalk.example/nettlewalk/internal/usage"
)

// listeners holds the open listeners of a host.
type listeners struct {
	callers, peers, admin net.Listener
}

// run serves until ctx is canceled and then shuts down.
func (h *host) run(ctx context.Context) error {
	if err := h.registerServices(); err != nil {
		return err
	}
	l, err := h.listen()
	if err != nil {
		return err
	}
	// Request serving outlives ctx: serveCtx is canceled after the drain.
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return h.server.Serve(serveCtx, l.peers) })
	g.Go(func() error { return h.admin.Serve(serveCtx, l.admin) })
	g.Go(func() error { return h.sessions.Serve(serveCtx, l.callers) })
	h.startBackgroundTasks(serveCtx, &g)
	h.log.Info("serving", "callers", h.settings.Host.CallerListen)
	<-ctx.Done()
	err = h.shutDown()
	stop()
	h.close()
	return errors.CombineErrors(err, g.Wait())
}

// registerServices registers the RPC service of each component with the peer server.
func (h *host) registerServices() error {
	services := map[string]any{
		pool.ServiceName:     &pool.Service{Manager: h.pool},
		session.ServiceName:  h.sessions.CancelService(),
		fleet.ServiceName:    h.fleet.Service(),
		floor.ServiceName:    h.floorKeeper.Service(),
		failover.ServiceName: h.failover.Service(),
		customer.ServiceName: customer.NewService(h.store),
		usage.ServiceName:    h.usage.Service(),
		limit.ServiceName:    h.limiter.Service(),
	}
	for name, service := range services {
		if err := h.server.Register(name, service); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) listen() (*listeners, error) {
	callers, err := net.Listen("tcp", h.settings.Host.CallerListen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", h.settings.Host.PeerListen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	admin, err := net.Listen("tcp", h.settings.Host.AdminListen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for operators")
	}
	return &listeners{callers: callers, peers: peers, admin: admin}, nil
}

// startBackgroundTasks starts the background tasks, which run until ctx is canceled.
func (h *host) startBackgroundTasks(ctx context.Context, g *errgroup.Group) {
	tasks := []func(context.Context){
		h.syncer.Run,
		h.applyHostList,
		h.followSlotAssignment,
		func(ctx context.Context) { h.fleet.Run(ctx, h.peers) },
		h.announceOncePeersKnown,
		h.failover.Run,
		h.usage.Run,
		h.limiter.Run,
	}
	for _, task := range tasks {
		g.Go(func() error {
			task(ctx)
			return nil
		})
	}
}

// announceOncePeersKnown announces this host as live, once it knows at least one
// other host.
func (h *host) announceOncePeersKnown(ctx context.Context) {
	for len(h.fleet.Hosts()) < 2 {
		changed := h.fleet.Changed()
		if len(h.fleet.Hosts()) >= 2 {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	h.fleet.AnnounceHello(ctx, h.peers)
}

// shutDown hands over every slot and lets running requests finish, for at most
// the drain timeout.
func (h *host) shutDown() error {
	h.log.Info("shutting down")
	h.admin.SetDraining()
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Host.DrainTimeout)
	defer cancel()
	h.fleet.AnnounceLeaving(ctx, h.peers)
	var g errgroup.Group
	g.Go(func() error { return h.sessions.Drain(ctx) })
	g.Go(func() error {
		h.pool.Shutdown(ctx)
		return nil
	})
	err := g.Wait()
	h.usage.Leave(ctx)
	h.log.Info("shut down")
	return errors.Wrap(err, "drain timeout expired before all requests finished")
}

func (h *host) close() {
	h.freshness.Close()
	h.pool.Close()
	h.peers.Close()
	h.server.Close()
	h.platform.Close()
}
