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

// stalenessBound is the smallest bound that ages are kept fine enough for.
const stalenessBound = time.Second

// joinTargets joins the slices that talk to targets. The pool asks failover
// for confirmation and failover asks the pool's targets for their status, so
// the pool reaches the later ones through h.
func (h *host) joinTargets() {
	h.freshness = freshness.New(freshness.Config{
		Source: primarySource{h},
		Bound:  func(topology.GroupID) time.Duration { return stalenessBound },
		Log:    h.log.WithName("freshness"),
	})
	h.pool = pool.NewManager(pool.Options{
		Self:      h.settings.HostInfo(),
		Boot:      h.boot,
		Login:     h.login,
		Dial:      h.dial,
		Confirm:   confirmer{h},
		Freshness: h.freshness,
		Peers:     h.peers,
		Primary:   func(id topology.GroupID) (uint64, topology.TargetID, bool) { return h.failover.State(id) },
		Handovers: h.handovers,
		Log:       h.log.WithName("pool"),
		OnCommit: func(id topology.TargetID, slot int, session string, position topology.Position) {
			h.keeper.OnCommit(id, slot, session, position)
		},
		OnUsage: h.usage.Consume,
		OnLock:  func(id topology.TargetID, slot int) { h.keeper.OnLock(id, slot) },
		OnStatus: func(st target.Status, err error, sentAt time.Time) {
			h.failover.Observe(st, err, sentAt)
		},
	})
	h.directory = pool.NewDirectory(pool.DirectoryOptions{
		Manager: h.pool,
		Caller:  h.peers,
		Fleet:   h.fleet,
		Target:  h.target,
		Login:   h.login,
		Dial:    h.dial,
	})
	h.joinFailover()
	h.keeper = floor.NewKeeper(h.pool, rounds{h}, h.store)
	h.floors = floor.NewClient(floor.ClientConfig{
		Self:      h.settings.Host.ID,
		Keeper:    h.keeper,
		Caller:    h.peers,
		Fleet:     h.fleet,
		Groups:    h.store,
		Primaries: h.failover,
		Rounds:    rounds{h},
		Policy:    h.store.Acknowledge,
	})
}

// target finds a target of any group.
func (h *host) target(id topology.TargetID) (topology.Target, bool) {
	for _, g := range h.store.Groups() {
		if t, ok := g.Target(id); ok {
			return t, true
		}
	}
	return topology.Target{}, false
}

// handovers tells whether another host is leaving, so that a slot's lock may be
// kept for as long as that host's streams take to end.
func (h *host) handovers() bool {
	return slices.ContainsFunc(h.fleet.Hosts(), func(other topology.Host) bool {
		return other.State == topology.HostLeaving
	})
}

// executor runs requests at a host: this one's pool or another's.
func (h *host) executor(id topology.HostID) pool.Executor {
	if id == h.settings.Host.ID {
		return h.pool
	}
	return h.usage.Observe(pool.Remote{Caller: h.peers, Host: id})
}

// confirmer passes the pool's questions on to failover.
type confirmer struct{ *host }

func (c confirmer) Confirm(ctx context.Context, group topology.GroupID, pos topology.Position) error {
	return c.failover.Confirm(ctx, group, pos)
}

func (c confirmer) CanConfirm(group topology.GroupID) error { return c.failover.CanConfirm(group) }

// rounds passes the floors' questions on to failover.
type rounds struct{ *host }

func (r rounds) Round(ctx context.Context, group topology.GroupID) (floor.Round, error) {
	round, err := r.failover.Round(ctx, group)
	return floor.Round(round), err
}

// primarySource answers with the primary's part of a majority round.
type primarySource struct{ *host }

func (p primarySource) Primary(ctx context.Context, group topology.GroupID) (target.Status, error) {
	round, err := p.failover.Round(ctx, group)
	if err != nil {
		return target.Status{}, err
	}
	return primaryStatus(round)
}

func primaryStatus(round failover.Round) (target.Status, error) {
	for _, s := range round.Statuses {
		if s.Target == round.Primary {
			return s, nil
		}
	}
	return target.Status{}, result.New(result.NoMajority, "the primary of term %d didn't answer", round.Term)
}
