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

// listeners are where a host is reached.
type listeners struct {
	callers, peers, admin net.Listener
}

// run serves until ctx ends and then leaves.
func (h *host) run(ctx context.Context) error {
	if err := h.register(); err != nil {
		return err
	}
	l, err := h.listen()
	if err != nil {
		return err
	}
	// What serves requests outlives ctx: it ends after the host has left.
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return h.server.Serve(work, l.peers) })
	g.Go(func() error { return h.admin.Serve(work, l.admin) })
	g.Go(func() error { return h.sessions.Serve(work, l.callers) })
	h.startLoops(work, &g)
	h.log.Info("serving", "callers", h.settings.Host.CallerListen)
	<-ctx.Done()
	err = h.leave()
	stop()
	h.close()
	return errors.CombineErrors(err, g.Wait())
}

// register tells the peer server every slice's service.
func (h *host) register() error {
	services := map[string]any{
		pool.ServiceName:     &pool.Service{Manager: h.pool},
		session.ServiceName:  h.sessions.CancelService(),
		fleet.ServiceName:    h.fleet.Service(),
		floor.ServiceName:    h.keeper.Service(),
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

// startLoops starts what goes on by itself until ctx ends.
func (h *host) startLoops(ctx context.Context, g *errgroup.Group) {
	loops := []func(context.Context){
		h.spreader.Run,
		h.followHosts,
		h.followSlots,
		func(ctx context.Context) { h.fleet.Run(ctx, h.peers) },
		h.announce,
		h.failover.Run,
		h.usage.Run,
		h.limiter.Run,
	}
	for _, loop := range loops {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
}

// announce tells the others that this host is live, once it knows of them.
func (h *host) announce(ctx context.Context) {
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

// leave hands over every slot and finishes what is under way.
func (h *host) leave() error {
	h.log.Info("leaving")
	h.admin.SetDraining()
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Host.DrainTimeout)
	defer cancel()
	h.fleet.AnnounceLeaving(ctx, h.peers)
	var g errgroup.Group
	g.Go(func() error { return h.sessions.Drain(ctx) })
	g.Go(func() error {
		h.pool.Leave(ctx)
		return nil
	})
	err := g.Wait()
	h.usage.Leave(ctx)
	h.log.Info("left")
	return errors.Wrap(err, "requests were cut at the end of the drain timeout")
}

func (h *host) close() {
	h.freshness.Close()
	h.pool.Close()
	h.peers.Close()
	h.server.Close()
	h.platform.Close()
}
