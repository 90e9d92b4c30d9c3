package main

import (
	"context"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/failover"
	"nettlewalk.example/nettlewalk/internal/floor"
	"nettlewalk.example/nettlewalk/internal/freshness"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// minStalenessBound is the smallest staleness bound that replica ages must be
// precise enough for. The freshness poller derives its poll interval from it.
const minStalenessBound = time.Second

// initTargets creates the components that talk to targets. The pool and the
// failover monitor depend on each other: the pool asks failover to confirm
// commits, and failover reads the status of targets through the pool. The pool
// therefore reaches components that are created later through h.
func (h *host) initTargets() {
	h.freshness = freshness.New(freshness.Config{
		Source:         primarySource{h},
		StalenessBound: func(topology.GroupID) time.Duration { return minStalenessBound },
		Log:            h.log.WithName("freshness"),
	})
	h.pool = pool.NewManager(pool.Options{
		Self:           h.settings.HostInfo(),
		Boot:           h.bootID,
		Login:          h.login,
		Dial:           h.dial,
		Confirm:        confirmer{h},
		Freshness:      h.freshness,
		Peers:          h.peers,
		Primary:        func(id topology.GroupID) (uint64, topology.TargetID, bool) { return h.failover.CurrentPrimary(id) },
		AnyHostLeaving: h.anotherHostLeaving,
		Log:            h.log.WithName("pool"),
		OnCommit: func(id topology.TargetID, slot int, session string, position topology.Position) {
			h.floorKeeper.OnCommit(id, slot, session, position)
		},
		OnUsage: h.usage.Consume,
		OnLock:  func(id topology.TargetID, slot int) { h.floorKeeper.OnLock(id, slot) },
		OnStatus: func(st target.Status, err error, sentAt time.Time) {
			h.failover.ObserveStatus(st, err, sentAt)
		},
	})
	h.directory = pool.NewDirectory(pool.DirectoryOptions{
		Manager:      h.pool,
		Caller:       h.peers,
		Fleet:        h.fleet,
		LookupTarget: h.findTarget,
		Login:        h.login,
		Dial:         h.dial,
	})
	h.initFailover()
	h.floorKeeper = floor.NewKeeper(h.pool, quorumReader{h}, h.store)
	h.floorClient = floor.NewClient(floor.ClientConfig{
		Self:         h.settings.Host.ID,
		Keeper:       h.floorKeeper,
		Caller:       h.peers,
		Fleet:        h.fleet,
		Groups:       h.store,
		Primaries:    h.failover,
		QuorumReader: quorumReader{h},
		Policy:       h.store.AckMode,
	})
}

// findTarget returns the target with the ID, from any group.
func (h *host) findTarget(id topology.TargetID) (topology.Target, bool) {
	for _, g := range h.store.Groups() {
		if t, ok := g.Target(id); ok {
			return t, true
		}
	}
	return topology.Target{}, false
}

// anotherHostLeaving reports whether another host is leaving. In that case a
// slot's lock may stay held until the streams of that host have ended.
func (h *host) anotherHostLeaving() bool {
	return slices.ContainsFunc(h.fleet.Hosts(), func(other topology.Host) bool {
		return other.State == topology.HostLeaving
	})
}

// executor returns the executor that runs requests on a host: the local pool or
// a remote one.
func (h *host) executor(id topology.HostID) pool.Executor {
	if id == h.settings.Host.ID {
		return h.pool
	}
	return h.usage.Observe(pool.Remote{Caller: h.peers, Host: id})
}

// confirmer delegates the pool's commit confirmations to the failover monitor.
type confirmer struct{ *host }

func (c confirmer) Confirm(ctx context.Context, group topology.GroupID, pos topology.Position) error {
	return c.failover.Confirm(ctx, group, pos)
}

func (c confirmer) CanConfirm(group topology.GroupID) error { return c.failover.CanConfirm(group) }

// quorumReader runs the majority rounds that the floor package requests, using
// the failover monitor.
type quorumReader struct{ *host }

func (r quorumReader) ReadQuorum(ctx context.Context, group topology.GroupID) (floor.QuorumRead, error) {
	round, err := r.failover.ReadQuorum(ctx, group)
	return floor.QuorumRead(round), err
}

// primarySource reads the primary's status from a majority round.
type primarySource struct{ *host }

func (p primarySource) Primary(ctx context.Context, group topology.GroupID) (target.Status, error) {
	round, err := p.failover.ReadQuorum(ctx, group)
	if err != nil {
		return target.Status{}, err
	}
	return primaryStatus(round)
}

func primaryStatus(round failover.QuorumRead) (target.Status, error) {
	for _, s := range round.Statuses {
		if s.Target == round.Primary {
			return s, nil
		}
	}
	return target.Status{}, result.New(result.NoMajority, "the primary of term %d didn't answer", round.Term)
}
